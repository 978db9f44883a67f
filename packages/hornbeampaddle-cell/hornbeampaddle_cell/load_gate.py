"""
Decide on callers' jobs by the backlog that the holder published.

Without a backlog that is recent and of the present holder, every job is accepted.
"""

import math

from hornbeampaddle.cell.backlog import Backlog
from hornbeampaddle.cell.jobs import Job

from .admission import Admission, Admit, Refuse
from .backlog_record import BACKLOG_RECENT_S
from .leadership import Leadership
from .ledger import Ledger
from .peers import PeerDirectory
from .ports import Clock
from .settings import InstanceSettings


class LoadGate:
    """One instance's decisions on what is refused for load."""

    def __init__(
        self,
        settings: InstanceSettings,
        clock: Clock,
        ledger: Ledger,
        leadership: Leadership,
        peers: PeerDirectory,
    ) -> None:
        """Decide by the backlog and the holder that the log names."""
        self.settings = settings
        self.clock = clock
        self.ledger = ledger
        self.leadership = leadership
        self.peers = peers
        self.admission = Admission()

    def age_s(self) -> float:
        """Return the age of the published backlog, infinite if there is none."""
        published = self.ledger.backlog
        if published is None:
            return math.inf
        return published.age_s(self.clock.now_s(), self.clock.wall_s())

    def decide(self, job: Job) -> Admit | Refuse:
        """Return whether a job that arrives now is refused for load."""
        return self.admission.decide(job, self._backlog(), self.clock.now_s())

    def retry_after_s(self, job: Job, refusal: Refuse) -> int:
        """Return when the caller of a job that was just refused may come back."""
        competitors = self.peers.competitors(self.settings.data_centre)
        now_s = self.clock.now_s()
        return self.admission.retry_after_s(job, refusal.queue, competitors, now_s)

    def _backlog(self) -> Backlog:
        """Return what may be relied on; empty if that is nothing."""
        published = self.ledger.backlog
        if published is None or published.epoch != self.leadership.epoch:
            return {}
        if self.leadership.vacant or self.age_s() >= BACKLOG_RECENT_S:
            return {}
        return published.backlog
