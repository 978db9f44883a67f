"""
Say when a caller who is refused for want of the store should come back.

Callers come back a few times only, each time after what they were told. A second is
what lets a job still be on time after a short outage, or through another instance that
the store serves. Told so for the whole of a longer one, they have used up their tries
before the store is back.
"""

# What the balancer needs to look away from one instance.
RETRY_SOON_S = 1
RETRY_LATER_S = 2
# From here on an outage counts as one that callers may not outlast.
LONG_OUTAGE_S = 2.0


def retry_after_s(outage_s: float) -> int:
    """Return whole seconds, ``outage_s`` after the store was last within reach."""
    return RETRY_SOON_S if outage_s < LONG_OUTAGE_S else RETRY_LATER_S
