"""
Trace one request through the logs of many instances.

Lines may come from any number of processes and in any order, with or without a
prefix before the JSON. The cause of the outcome is derived from the logged events;
where the logs show none, the story says so.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

# Events of the whole cell that can explain what happened to a request.
CELL_EVENTS = (
    "holder: began",
    "holder: lost",
    "holder: released",
    "holder: not stored",
    "worker_ended",
    "lease_over",
    "worker_rests",
)
# Cell events up to this long before a request's first line are included.
CELL_EVENTS_LEAD_S = 5.0
# A task that waits longer than this is waiting for free capacity or for a holder.
LONG_WAIT_MIN_S = 0.5
# Cause of a failed request where the logs of some instances are missing.
FAILED_TASK_NOT_LOGGED = "failed: the lines that tell which task are not in these logs"

Line = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Story:
    """A request's log lines in time order, concurrent cell events and the cause."""

    job_id: str
    cause: str
    lines: list[Line] = field(default_factory=list)
    around: list[Line] = field(default_factory=list)


def parse(texts: Iterable[str]) -> list[Line]:
    """Return the valid log lines in time order; others are skipped."""
    lines: list[Line] = []
    for text in texts:
        start = text.find('{"event"')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except json.JSONDecodeError:
            continue
        if isinstance(line, dict) and "timestamp" in line:
            lines.append(line)
    return sorted(lines, key=lambda line: line["timestamp"])


def build_story(lines: list[Line], job_id: str) -> Story:
    """Return the log lines of one request and the cause of its outcome."""
    own = [line for line in lines if _concerns(line, job_id)]
    if not own:
        return Story(job_id, "no line of these logs names this request")
    begin_s = own[0]["timestamp"] - CELL_EVENTS_LEAD_S
    end_s = own[-1]["timestamp"]
    around = [
        line
        for line in lines
        if line["event"] in CELL_EVENTS and begin_s <= line["timestamp"] <= end_s
    ]
    return Story(job_id, _cause(own, around), own, around)


def _concerns(line: Line, job_id: str) -> bool:
    return line.get("job") == job_id or job_id in line.get("records", ())


def _events(lines: list[Line], name: str) -> list[Line]:
    return [line for line in lines if line["event"] == name]


def _cause(own: list[Line], around: list[Line]) -> str:
    finished = _events(own, "job_finished")
    if finished and finished[-1]["status"] == "failed":
        if finished[-1]["why"] == "crashes_workers":
            return _crash_cause(own)
        return _failure_cause(own)
    if finished and finished[-1]["status"] == "cancelled":
        return "cancelled: a caller asked for it"
    accepted = [
        line for line in _events(own, "submit: answered") if line["stored"] == "yes"
    ]
    if not accepted and not _events(own, "start"):
        return _refusal_cause(own)
    return _delay_cause(own, around, finished)


def _refusal_cause(own: list[Line]) -> str:
    answers = _events(own, "submit: answered")
    if any(line["stored"] == "unknown" for line in answers):
        return (
            "nobody can say: the store gave no answer to the append; "
            "the caller was told to repeat the request"
        )
    if for_load := _events(own, "submit: refused for load"):
        line = for_load[-1]
        return (
            f"refused, not run: it had no chance; its wait was at least "
            f"{line['wait_s']} s, and over {line['limit_s']} s is too long"
        )
    if answers:
        line = answers[-1]
        return (
            f"refused, not run: the store did not take it from {line['instance']} "
            f"within {line['took_s']} s"
        )
    return "never accepted: no instance of these logs answered it"


def _crash_cause(own: list[Line]) -> str:
    suspected = _events(own, "crash_suspected")
    if not suspected:
        return FAILED_TASK_NOT_LOGGED
    task, workers = _most_frequent_task(suspected)
    return (
        f"failed: task {task} was started as {len(workers)} workers crashed, "
        f"{', '.join(workers)}; it is not started again"
    )


def _most_frequent_task(lines: list[Line]) -> tuple[str, list[str]]:
    """Return the task with the most lines, and the workers named in them."""
    by_task: dict[str, list[str]] = {}
    for line in lines:
        by_task.setdefault(_task(line), []).append(line["worker"])
    return max(by_task.items(), key=lambda item: len(item[1]))


def _failure_cause(own: list[Line]) -> str:
    failures = [line for line in _events(own, "run_ended") if line["how"] == "failed"]
    if not failures:
        return FAILED_TASK_NOT_LOGGED
    task, workers = _most_frequent_task(failures)
    return (
        f"failed: task {task} failed {len(workers)} times, "
        f"on {', '.join(workers)}; that is all its attempts"
    )


def _delay_cause(own: list[Line], around: list[Line], finished: list[Line]) -> str:
    changes = _events(around, "holder: began")
    released = _events(own, "run_released")
    waits = [line["waited_s"] for line in _events(own, "start")]
    reasons = []
    if changes:
        names = ", ".join(line["instance"] for line in changes)
        reasons.append(f"the holder of the cell changed (to {names})")
    if released:
        release_reasons = sorted({line["why"] for line in released})
        reasons.append(
            f"{len(released)} runs were given up ({', '.join(release_reasons)})"
        )
    if waits and max(waits) > LONG_WAIT_MIN_S:
        reasons.append(f"tasks waited up to {max(waits)} s for a worker")
    unplaced = _events(own, "job_waits")
    if unplaced:
        longest_s = max(line["waited_s"] for line in unplaced)
        named = ", ".join(sorted({line["reason"] for line in unplaced}))
        reasons.append(f"a step found no place for {longest_s} s ({named})")
    if _events(own, "pace"):
        reasons.append("its tasks were slowed down for the tasks that they disturb")
    state = "not finished in these logs"
    if finished:
        state = f"{finished[-1]['status']} after {finished[-1]['age_s']} s"
    return f"{state}: {'; '.join(reasons) or 'nothing in the log held it up'}"


def _task(line: Line) -> str:
    return "/".join(str(part) for part in line["task"][1:])


def format_line(line: Line, begin_s: float) -> str:
    """Format a log line for people, with its time since ``begin_s``."""
    hidden = {"event", "level", "instance", "timestamp", "job"}
    fields = " ".join(
        f"{name}={_task(line) if name == 'task' else value}"
        for name, value in line.items()
        if name not in hidden
    )
    at_s = line["timestamp"] - begin_s
    return f"{at_s:+8.3f}s {line['instance']}  {line['event']}  {fields}"
