"""
Translate deadlines between clocks that share nothing but a bounded rate.

A machine answers with a stamp of its own clock. Whoever received the stamp can
name deadlines on that machine's clock, and knows by when they have certainly
passed there. Neither the offset between clocks nor the delay of a message
enters the argument, only the largest relative error of their rates.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class RemoteClock:
    """
    The last stamp received from one machine, and when it came in.

    ``stamp_s`` is on the remote clock, ``received_s`` on the local one. The
    remote clock showed ``stamp_s`` no later than the local one ``received_s``.
    """

    rate_error_ratio: float
    stamp_s: float = 0.0
    received_s: float = float("-inf")

    @property
    def known(self) -> bool:
        """Tell whether any stamp has come in."""
        return self.received_s != float("-inf")

    def observe(self, stamp_s: float, now_s: float) -> None:
        """Take in a stamp; an older one, reordered on its way, is ignored."""
        if self.known and stamp_s < self.stamp_s:
            return
        self.stamp_s = stamp_s
        self.received_s = now_s

    def deadline_there(self, deadline_s: float) -> float:
        """
        Return the remote reading that is certain to come before ``deadline_s``.

        A slow local clock would let the remote one run on past the local
        deadline, so the remaining time is shortened by the rate error.
        """
        remaining_s = max(0.0, deadline_s - self.received_s)
        return self.stamp_s + remaining_s * (1 - self.rate_error_ratio)

    def passed_there_by(self, remote_deadline_s: float) -> float:
        """Return the local time by which the remote clock has passed a deadline."""
        remaining_s = max(0.0, remote_deadline_s - self.stamp_s)
        return self.received_s + remaining_s / (1 - self.rate_error_ratio)
