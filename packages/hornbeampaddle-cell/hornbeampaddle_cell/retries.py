"""
Compute ``Retry-After`` for callers refused because the store is unavailable.

Callers retry only a few times, each time after the delay they were given. One second
lets a job still be on time after a short outage, or through another instance that can
reach the store. During a longer outage callers with that delay would use up their
retries before the store is back.
"""

# The load balancer needs this long to stop sending requests to one instance.
RETRY_SOON_S = 1
RETRY_LATER_S = 2
# Duration from which callers may run out of retries before an outage ends.
LONG_OUTAGE_S = 2.0


def retry_after_s(outage_s: float) -> int:
    """Return whole seconds; ``outage_s`` is the time since the store last answered."""
    return RETRY_SOON_S if outage_s < LONG_OUTAGE_S else RETRY_LATER_S
