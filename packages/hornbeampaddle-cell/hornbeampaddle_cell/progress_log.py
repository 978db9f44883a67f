"""
Append to the log of progress as the holder, under one epoch.

Every append that is stored is also the holder's sign of life. One that was not
answered is sent again under the same number; one that is refused for a higher
epoch ends this holder's time.
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

# The name under which every holder appends; the epoch tells them apart.
PRODUCER_NAME = "holder"
# Between tries of an append that the store refused: short at first, for the
# holder has 1.5 s, then longer, for every call counts against a common limit.
RETRY_S = 0.05
RETRY_MAX_S = 0.3


class ProgressLog:
    """The holder's end of the log of progress."""

    def __init__(
        self,
        settings: InstanceSettings,
        clock: Clock,
        store: StorePort,
        ledger: Ledger,
        epoch: int,
        fenced_at_s: float,
        lose: Callable[[str], None],
    ) -> None:
        """Begin after the fence; ``lose`` is told when the epoch is over."""
        self.settings = settings
        self.clock = clock
        self.store = store
        self.ledger = ledger
        self.epoch = epoch
        self.stored_at_s = fenced_at_s
        self.over = False
        self._lose = lose
        self._sequence = 0
        self._failed_tries = 0

    def stop(self) -> None:
        """Try no more."""
        self.over = True

    async def append(self, records: list[Keyed]) -> bool:
        """Append until it is done; false if the cell is lost."""
        while not self.over:
            sent_at_s = self.clock.now_s()
            producer = Producer(PRODUCER_NAME, self.epoch, self._sequence)
            outcome = await self.store.append(Topic.PROGRESS, records, producer, None)
            match outcome:
                case Appended():
                    self._stored(records, sent_at_s)
                    return True
                case OutOfSequence(expected) if expected == self._sequence + 1:
                    # This very number was taken: an unanswered try was done.
                    self._stored(records, sent_at_s)
                    return True
                case Superseded():
                    self._lose("the log has taken a higher epoch")
                case Unavailable() | NoAnswer():
                    self._note_failed(outcome, sent_at_s)
                    await asyncio.sleep(self._retry_s())
                case _:
                    log.error("holder: unexpected", outcome=repr(outcome))
                    self._lose("the log gave an unexpected answer")
        return False

    def _retry_s(self) -> float:
        return min(RETRY_MAX_S, RETRY_S * 2 ** (self._failed_tries - 1))

    def _note_failed(self, outcome: Unavailable | NoAnswer, sent_at_s: float) -> None:
        if self._failed_tries == 0:
            age_s = round(sent_at_s - self.stored_at_s, 3)
            log.warning(
                "holder: not stored", epoch=self.epoch, age_s=age_s, **asdict(outcome)
            )
        self._failed_tries += 1

    def _stored(self, records: list[Keyed], sent_at_s: float) -> None:
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
                self.ledger.take_progress(record, sent_at_s)
