"""
Stand in for the platform: workers, log service and instance list.

Each part is a state machine without I/O, driven by tests in virtual time, and
a thin HTTP shell around it. The ledger counts what really happened; the
product cannot write it.
"""
