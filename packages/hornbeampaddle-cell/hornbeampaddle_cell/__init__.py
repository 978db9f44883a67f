"""
Run one instance of a cell: accept jobs, follow the log, schedule when chosen.

The instance knows its surroundings only through ``ports``; an adapter for a
platform implements these.
"""
