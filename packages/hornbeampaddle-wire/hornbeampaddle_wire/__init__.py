"""
Carry messages: HTTP by h11, peer messages by pynng, bodies by msgspec.

Nothing here decides anything. The daemon, the command line and the stand-ins
share it.
"""
