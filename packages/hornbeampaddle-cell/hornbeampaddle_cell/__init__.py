"""
Run one instance of a cell: accept jobs, follow the logs, schedule as the holder.

The instance uses external systems only through ``ports``; an adapter for a platform
implements these.
"""
