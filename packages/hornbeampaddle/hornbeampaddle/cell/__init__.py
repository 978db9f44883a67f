"""
Schedule one cell: a set of workers and all jobs that use them.

Everything here is a state machine over typed values. The time is an argument,
what has to happen comes back as data, so that a test can play any load and any
order of events without a network.
"""
