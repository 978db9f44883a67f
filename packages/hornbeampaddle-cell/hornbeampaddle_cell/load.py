"""Measure what the holder's process spends its time on, for one line of the log."""

from dataclasses import asdict, dataclass


@dataclass(slots=True)
class HolderLoad:
    """
    The holder's work since its last summary, on the holder's clock.

    Times are those of deciding, of applying reports and of applying the list of
    workers; sending, receiving and decoding are not included.
    """

    reports: int = 0
    reports_s: float = 0.0
    decisions: int = 0
    decisions_s: float = 0.0
    decision_max_s: float = 0.0
    list_reads: int = 0
    list_records: int = 0
    list_s: float = 0.0
    _since_s: float | None = None

    def reported(self, took_s: float) -> None:
        """Count a report and the time it took to apply it."""
        self.reports += 1
        self.reports_s += took_s

    def decided(self, took_s: float) -> None:
        """Count a decision and its duration."""
        self.decisions += 1
        self.decisions_s += took_s
        self.decision_max_s = max(self.decision_max_s, took_s)

    def listed(self, records: int, took_s: float) -> None:
        """Count a read of the list of workers and the time it took to apply it."""
        self.list_reads += 1
        self.list_records += records
        self.list_s += took_s

    def fields(self, now_s: float) -> dict[str, float]:
        """Return the counts and times, in seconds, as fields of a log line."""
        counts = {k: v for k, v in asdict(self).items() if not k.startswith("_")}
        span_s = now_s - self._since_s if self._since_s is not None else 0.0
        counts["span_s"] = span_s
        return {name: round(value, 3) for name, value in counts.items()}

    @classmethod
    def since(cls, now_s: float) -> "HolderLoad":
        """Return the load of a span that begins now."""
        return cls(_since_s=now_s)
