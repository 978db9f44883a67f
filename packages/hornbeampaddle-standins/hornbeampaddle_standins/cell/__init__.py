"""
Emulate what a cell lives in: the log service, workers, callers.

All are state machines in simulated time. They judge what they see, apart from
what the product says of itself, so that a run ends with the broken promises.
"""
