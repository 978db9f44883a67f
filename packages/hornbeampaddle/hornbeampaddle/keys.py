"""
Issue idempotency keys for requests, and remember the outcomes of used keys.

A key names its keeper: the only incarnation that may run the key's request. A
repeat that reaches another instance is forwarded to the keeper. If that
incarnation is gone, no other may run the request, so the outcome is unknown rather
than a second run. Issue time and deadline are on the keeper's clock, and only the
keeper evaluates them.
"""

import hmac
import secrets
from collections import deque
from dataclasses import dataclass, field

from result import Err, Ok, Result

from .outcomes import Done, NotRun, Outcome, Reason, Unknown

DIGEST = "blake2s"
TAG_CHARACTERS = 16
FIELD_SEPARATOR = "!"
FIELD_COUNT = 6
TIME_DIGITS_MAX = 15
REMEMBERED_ANSWER_BYTES_MAX = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class RequestKey:
    """A parsed key. Times are in milliseconds on the keeper's clock."""

    data_centre: str
    keeper: str
    issued_ms: int
    deadline_ms: int
    nonce: str
    tag: str

    def __str__(self) -> str:
        return FIELD_SEPARATOR.join([_signed_text(self), self.tag])


def _signed_text(key: RequestKey) -> str:
    times = (str(key.issued_ms), str(key.deadline_ms))
    return FIELD_SEPARATOR.join([key.data_centre, key.keeper, *times, key.nonce])


def _forget_ms(key: RequestKey) -> int:
    return key.deadline_ms + (key.deadline_ms - key.issued_ms)


def _is_time(text: str) -> bool:
    """
    Tell whether a text is a plausible number of milliseconds.

    The length is limited because ``int`` raises an error for thousands of digits.
    """
    return text.isascii() and text.isdigit() and len(text) <= TIME_DIGITS_MAX


def parse_key(text: str) -> Result[RequestKey, str]:
    """Parse a key's text form, or return an error that tells why it is malformed."""
    parts = text.split(FIELD_SEPARATOR)
    if len(parts) != FIELD_COUNT:
        return Err("a request key has six fields; get one from POST /v1/keys")
    data_centre, keeper, issued, deadline, nonce, tag = parts
    if not _is_time(issued):
        return Err("the issue time in the request key is not a number")
    if not _is_time(deadline):
        return Err("the deadline in the request key is not a number")
    key = RequestKey(data_centre, keeper, int(issued), int(deadline), nonce, tag)
    return Ok(key)


@dataclass(frozen=True, slots=True)
class Fresh:
    """The key was unused; it is now in progress and its request may be run."""


@dataclass(frozen=True, slots=True)
class InProgress:
    """The key's request is running; its answer goes to the callers waiting for it."""


@dataclass(frozen=True, slots=True)
class Finished:
    """The key's request has its final outcome."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Rejected:
    """The key can't be used for this request, of which nothing was or will be run."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class Forgotten:
    """The key is past its retention time; its request may have been run."""


Claim = Fresh | InProgress | Finished | Rejected | Forgotten


@dataclass(slots=True)
class _Entry:
    body_digest: bytes
    forget_ms: int
    outcome: Outcome | None = None


@dataclass(slots=True)
class Keeper:
    """The issuer of one incarnation's keys, with the outcomes of those used."""

    data_centre: str
    incarnation: str
    remembered_max: int
    secret: bytes = field(default_factory=lambda: secrets.token_bytes(32))
    answer_bytes_max: int = REMEMBERED_ANSWER_BYTES_MAX
    _entries: dict[str, _Entry] = field(default_factory=dict)
    _answered_nonces: deque[str] = field(default_factory=deque)
    _answer_bytes: int = 0

    def mint(self, now_s: float, deadline_s: float) -> RequestKey:
        """Return a new key whose request may be started until ``deadline_s``."""
        nonce = secrets.token_hex(8)
        key = RequestKey(
            self.data_centre,
            self.incarnation,
            int(now_s * 1000),
            int(deadline_s * 1000),
            nonce,
            "",
        )
        tag = self._tag(key)
        return RequestKey(
            key.data_centre, key.keeper, key.issued_ms, key.deadline_ms, nonce, tag
        )

    def keeps(self, key: RequestKey) -> bool:
        """Tell whether this incarnation is the key's keeper."""
        return key.keeper == self.incarnation

    def claim(self, key: RequestKey, body_digest: bytes, now_s: float) -> Claim:
        """Claim a key to run its request; only the first claim is ``Fresh``."""
        now_ms = int(now_s * 1000)
        self._forget_expired(now_ms)
        if not hmac.compare_digest(key.tag, self._tag(key)):
            return Rejected(Reason.KEY_INVALID)
        entry = self._entries.get(key.nonce)
        if entry is not None:
            return self._claim_used(entry, body_digest)
        # Guards against a false "not run": a repeat that arrives after its entry
        # was dropped looks like an unused key. Entries of used keys are kept until
        # ``forget_ms``, so a missing entry is conclusive only before then.
        forget_ms = _forget_ms(key)
        if now_ms >= forget_ms:
            return Forgotten()
        if now_ms >= key.deadline_ms:
            return Rejected(Reason.DEADLINE_PASSED)
        if len(self._entries) >= self.remembered_max:
            return Rejected(Reason.QUEUE_FULL)
        self._entries[key.nonce] = _Entry(body_digest, forget_ms)
        return Fresh()

    def finish(self, key: RequestKey, outcome: Outcome) -> None:
        """Record the final outcome of a claimed key."""
        entry = self._entries.get(key.nonce)
        if entry is None:
            return
        if isinstance(outcome, NotRun):
            # Nothing ran for certain, so the key may be used again.
            del self._entries[key.nonce]
            return
        entry.outcome = outcome
        if isinstance(outcome, Done):
            self._answered_nonces.append(key.nonce)
            self._answer_bytes += len(outcome.body)
            self._drop_oldest_answers()

    def _claim_used(self, entry: _Entry, body_digest: bytes) -> Claim:
        if entry.body_digest != body_digest:
            return Rejected(Reason.KEY_REUSED)
        if entry.outcome is None:
            return InProgress()
        return Finished(entry.outcome)

    def _tag(self, key: RequestKey) -> str:
        digest = hmac.new(self.secret, _signed_text(key).encode(), DIGEST).hexdigest()
        return digest[:TAG_CHARACTERS]

    def _drop_oldest_answers(self) -> None:
        # A repeat of a key whose answer was dropped is answered that the request
        # may have run, never that it was not run.
        while self._answer_bytes > self.answer_bytes_max:
            entry = self._entries.get(self._answered_nonces.popleft())
            if entry is not None and isinstance(entry.outcome, Done):
                self._answer_bytes -= len(entry.outcome.body)
                entry.outcome = Unknown(Reason.ANSWER_DROPPED)

    def _forget_expired(self, now_ms: int) -> None:
        # Entries are in order of first use, not of deadline, so one long-lived
        # key can delay the removal of those after it. ``remembered_max`` bounds
        # their memory.
        while self._entries:
            nonce, entry = next(iter(self._entries.items()))
            if now_ms < entry.forget_ms or entry.outcome is None:
                return
            del self._entries[nonce]
            if isinstance(entry.outcome, Done):
                self._answer_bytes -= len(entry.outcome.body)
