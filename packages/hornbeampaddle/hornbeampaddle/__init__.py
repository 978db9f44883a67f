"""
Decide where work runs, without performing I/O or reading a clock.

Every module takes messages and the current time as arguments and returns messages
and effects, so that it can be embedded in other programs and tested in virtual
time.
"""

__version__ = "0.1.0"
