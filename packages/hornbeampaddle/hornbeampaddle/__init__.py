"""
Decide where work runs, without sockets and without a clock of its own.

Every part takes messages and the time as arguments and returns messages and
effects, so that others can embed it and tests can drive it in virtual time.
"""

__version__ = "0.1.0"
