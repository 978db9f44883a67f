"""
Stand-ins for the platform: workers, log service and instance list.

Each part is a state machine without I/O, which tests drive in virtual time, with a
thin HTTP layer around it. The ledger records what was executed; the product cannot
write to it.
"""
