"""
Append to the log of progress as the holder, under one epoch.

Every stored append also serves as the holder's heartbeat. An append without an answer
is sent again under the same sequence number; one that is rejected because of a higher
epoch ends the holder's term.
"""

import asyncio
from collections.abc import Callable
from dataclasses import asdict

import structlog

from hornbeampaddle.cell.reports import NoAnswer

from .leadership import HOLDER_KEY
from .ledger import Ledger
from .ports import (
    Appended,
    Clock,
    Keyed,
    OutOfSequence,
    Producer,
    StorePort,
    Superseded,
    Topic,
    Unavailable,
)
from .settings import InstanceSettings

log = structlog.get_logger()

# The producer name of every holder; holders differ by epoch.
PRODUCER_NAME = "holder"
# Pause between attempts of a failed append; it doubles up to the maximum. It is short
# at first, since the holder has 1.5 s to store a record, and longer later, since every
# call counts against the store's shared rate limit.
RETRY_BASE_S = 0.05
RETRY_MAX_S = 0.3


class ProgressLog:
    """The holder's writer of the log of progress."""

    def __init__(
        self,
        settings: InstanceSettings,
        clock: Clock,
        store: StorePort,
        ledger: Ledger,
        epoch: int,
        fenced_at_s: float,
        step_down: Callable[[str], None],
    ) -> None:
        """Begin after the fence; ``step_down`` is called when the epoch is over."""
        self.settings = settings
        self.clock = clock
        self.store = store
        self.ledger = ledger
        self.epoch = epoch
        self.stored_at_s = fenced_at_s
        self.stopped = False
        self._step_down = step_down
        self._sequence = 0
        self._failed_tries = 0

    def stop(self) -> None:
        """Make no further attempts."""
        self.stopped = True

    async def append(self, records: list[Keyed]) -> bool:
        """Append, retrying until stored; return false if the cell is lost."""
        while not self.stopped:
            sent_at_s = self.clock.now_s()
            producer = Producer(PRODUCER_NAME, self.epoch, self._sequence)
            outcome = await self.store.append(Topic.PROGRESS, records, producer, None)
            match outcome:
                case Appended():
                    self._mark_stored(records, sent_at_s)
                    return True
                case OutOfSequence(expected) if expected == self._sequence + 1:
                    # The log has this sequence number: an unanswered try was stored.
                    self._mark_stored(records, sent_at_s)
                    return True
                case Superseded():
                    self._step_down("the log has taken a higher epoch")
                case Unavailable() | NoAnswer():
                    self._mark_failed(outcome, sent_at_s)
                    await asyncio.sleep(self._retry_s())
                case _:
                    log.error(
                        "holder: unexpected append outcome", outcome=repr(outcome)
                    )
                    self._step_down("the log gave an unexpected answer")
        return False

    def _retry_s(self) -> float:
        return min(RETRY_MAX_S, RETRY_BASE_S * 2 ** (self._failed_tries - 1))

    def _mark_failed(self, outcome: Unavailable | NoAnswer, sent_at_s: float) -> None:
        if self._failed_tries == 0:
            age_s = round(sent_at_s - self.stored_at_s, 3)
            log.warning(
                "holder: not stored", epoch=self.epoch, age_s=age_s, **asdict(outcome)
            )
        self._failed_tries += 1

    def _mark_stored(self, records: list[Keyed], sent_at_s: float) -> None:
        if self._failed_tries:
            log.info(
                "holder: stores again",
                epoch=self.epoch,
                gone_s=round(sent_at_s - self.stored_at_s, 3),
                tries=self._failed_tries,
            )
        self._failed_tries = 0
        self._sequence += 1
        self.stored_at_s = sent_at_s
        for record in records:
            if record.key != HOLDER_KEY:
                self.ledger.apply_progress(record, sent_at_s)
