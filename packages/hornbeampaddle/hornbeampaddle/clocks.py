"""
Translate deadlines between unsynchronized clocks with a bounded rate error.

A machine includes a timestamp of its own clock in its answers. The receiver of
a timestamp can state deadlines on that machine's clock, and can tell by when they
have certainly passed there. This depends only on the largest relative error
between the clocks' rates, not on their offset or on message delays.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class RemoteClock:
    """
    The latest timestamp received from one machine, and its time of arrival.

    ``stamp_s`` is on the remote clock, ``received_s`` on the local one. The
    remote clock read ``stamp_s`` no later than the local one read ``received_s``.
    """

    rate_error_ratio: float
    stamp_s: float = 0.0
    received_s: float = float("-inf")

    @property
    def known(self) -> bool:
        """Tell whether any timestamp has been received."""
        return self.received_s != float("-inf")

    def observe(self, stamp_s: float, now_s: float) -> None:
        """Record a timestamp; ignore an older one that was reordered in transit."""
        if self.known and stamp_s < self.stamp_s:
            return
        self.stamp_s = stamp_s
        self.received_s = now_s

    def remote_deadline_before(self, deadline_s: float) -> float:
        """
        Return a remote deadline that certainly passes before ``deadline_s``.

        ``deadline_s`` is on the local clock. If the local clock is the faster one,
        the remote clock reaches its reading later, so the remaining time is
        shortened by the rate error.
        """
        remaining_s = max(0.0, deadline_s - self.received_s)
        return self.stamp_s + remaining_s * (1 - self.rate_error_ratio)

    def local_time_past(self, remote_deadline_s: float) -> float:
        """Return the local time by which a remote deadline has certainly passed."""
        remaining_s = max(0.0, remote_deadline_s - self.stamp_s)
        return self.received_s + remaining_s / (1 - self.rate_error_ratio)
