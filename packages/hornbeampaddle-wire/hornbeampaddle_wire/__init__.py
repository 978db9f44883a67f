"""
Transport messages: HTTP with h11, peer messages with pynng, bodies with msgspec.

This package makes no scheduling decisions. The daemon, the command line and the
stand-ins share it.
"""
