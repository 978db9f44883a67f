"""
Scheduler of one cell: a set of workers and all jobs that use them.

Everything here is a state machine over typed values. The time is an argument and
effects are returned as data, so that a test can simulate any load and any order of
events without a network.
"""
