"""
Simulated environment of a cell: the log service, the workers and the callers.

All are state machines in simulated time. They check the product's guarantees from
what they observe, independently of what the product reports, and list the violations.
"""
