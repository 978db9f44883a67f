"""Steps that derive the history of a request from logs."""

import contextlib
import fcntl
import functools
import json
import os
import time
from unittest.mock import patch

import structlog
from behave import given, then, when

from hornbeampaddle_cell import logs
from hornbeampaddle_cli.budget import budget
from hornbeampaddle_cli.story import build_story, format_line, parse

# Loggers cache the first writer that they are given, so all scenarios share one.
LINES = []


@functools.cache
def captured_log():
    _, write_end = os.pipe()
    writer = logs.set_up("cell", write_end)
    writer.add = lambda event, line: LINES.append(line.decode())


@given("its log is kept")
def capture_log(context):
    captured_log()
    LINES.clear()


@given("every worker fails every attempt")
def all_fail(context):
    for worker in context.world.workers.values():
        worker.fails_all = True


@then('the history of "{name}" says "{text}"')
def history_says(context, name, text):
    # Out of order and with a prefix, as log collectors deliver them.
    texts = [f"  1.25 node-1 {line}" for line in reversed(LINES)]
    story = build_story(parse(texts), name.rjust(16, "0"))
    assert text in story.cause, story.cause
    for line in story.lines:
        assert format_line(line, 0.0)


@given("a log with nothing but the end of a job that failed: {why}")
def only_the_end(context, why):
    line = {
        "event": "job_finished",
        "instance": "i0",
        "job": "ba07".rjust(16, "0"),
        "status": "failed",
        "why": why,
        "age_s": 1.0,
        "timestamp": 1.0,
    }
    LINES[:] = [json.dumps(line)]


@given("a log writer with a stalled reader")
def slow_reader(context):
    context.read_end, write_end = os.pipe()
    context.log = logs.LogWriter(write_end)
    context.add_cleanup(os.close, write_end)
    context.add_cleanup(os.close, context.read_end)


@when("{count:d} lines are written")
def write_lines(context, count):
    begun_s = time.process_time()
    for number in range(count):
        context.log.add(f"event {number % 50}", b"x" * 199 + b"\n")
        if number % 1000 == 0:
            context.log.flush()
    context.each_s = (time.process_time() - begun_s) / count


@then("each took less than 0.1 ms and the memory stayed bounded")
def bounded(context):
    assert context.each_s < 0.0001, context.each_s
    assert context.log._size_bytes <= logs.BUFFER_BYTES


@then("the reader finds how many lines were dropped")
def dropped(context):
    assert context.log.dropped.total() > 0
    os.set_blocking(context.read_end, False)
    data = b""
    for _ in range(200):
        with contextlib.suppress(BlockingIOError):
            data += os.read(context.read_end, 1 << 20)
        context.log.flush()
    noted = [json.loads(x) for x in data.splitlines() if x.startswith(b"{")]
    assert noted and noted[0]["lines"] > 0, noted
    assert sum(noted[0]["by_event"].values()) == noted[0]["lines"], noted


@when(
    "{count:d} lines with a path of {size:d} characters are logged, "
    "and one of another event"
)
def log_long_paths(context, count, size):
    before = structlog.get_config()
    context.add_cleanup(structlog.configure, **before)
    context.log = logs.set_up("i0", context.log.descriptor)
    log = structlog.get_logger()
    for _ in range(count):
        log.info("queue: unknown", path="/nothing/" + size * "x")
    log.info("submit: answered", job="aa")


@then("no line was dropped, and the path's beginning is in each")
def check_long_paths(context):
    assert not context.log.dropped, context.log.dropped
    *long, last = [json.loads(line) for line in context.log._lines]
    assert all(line["path"].startswith("/nothing/xxx") for line in long)
    assert last["event"] == "submit: answered", last


@given("a log writer with a reader that {how}")
def faulty_reader(context, how):
    slow_reader(context)
    context.taken = b""
    match how:
        case "takes a few bytes at a time":
            fcntl.fcntl(context.read_end, fcntl.F_SETPIPE_SZ, 4096)
            context.take = lambda: os.read(context.read_end, 700)
        case "takes 8 KiB of any write, and says that it took all":
            context.take = bytes

            def write(descriptor, data):
                context.taken += data[:8192]
                return len(data)

            patched = patch.object(logs.os, "write", write)
            patched.start()
            context.add_cleanup(patched.stop)


@when("{count:d} lines of {size_bytes:d} bytes are logged to it")
def log_lines(context, count, size_bytes):
    pad = "x" * (size_bytes - 20)
    for number in range(count):
        line = json.dumps({"number": number, "pad": pad}).encode() + b"\n"
        context.log.add(f"event {number % 50}", line)
        if number % 50 == 0:
            context.log.flush()
    while context.log._lines:
        context.log.flush()
        context.taken += context.take()
    with contextlib.suppress(BlockingIOError):
        os.set_blocking(context.read_end, False)
        while data := os.read(context.read_end, 1 << 16):
            context.taken += data


@then("the reader finds all {count:d} of them, none torn")
def all_lines(context, count):
    numbers = [json.loads(line)["number"] for line in context.taken.splitlines()]
    assert numbers == list(range(count)), len(numbers)


@then(
    'the budget of queue "{queue}" counts {stored:d} stored, {placed:d} placed, '
    "{runs:d} run, {handed:d} handed over"
)
def counts(context, queue, stored, placed, runs, handed):
    stages = budget(parse(LINES))
    context.stages = {s.stage: s for s in stages if s.queue == queue}
    found = {name: stage.count for name, stage in context.stages.items()}
    wanted = {"stored": stored, "placed": placed, "run": runs, "handed over": handed}
    assert {name: found[name] for name in wanted} == wanted, found


@when("the budget is read from the lines of such a job, the last first")
def read_one_job(context):
    begun = {"job": "a", "instance": "i0"}
    rows = [
        (10.01, "submit: answered", {"queue": "q", "stored": "yes", "took_s": 0.01}),
        (10.21, "start", {"task": ["a", 0, 0, 0], "run": 1}),
        (11.21, "run_done", {"task": ["a", 0, 0, 0], "run": 1}),
        (11.71, "start", {"task": ["a", 0, 1, 0], "run": 1}),
        (13.71, "run_done", {"task": ["a", 0, 1, 0], "run": 1}),
        (13.81, "job_finished", {"status": "completed", "age_s": 3.81}),
    ]
    texts = [
        json.dumps({"event": event, **begun, **fields, "timestamp": at_s})
        for at_s, event, fields in reversed(rows)
    ]
    context.stages = {stage.stage: stage for stage in budget(parse(texts))}


@then(
    "its stages are {stored:g}, {placed:g}, {run:g}, {handed:g}, {shown:g} "
    "and {whole:g} s"
)
def one_job_stages(context, stored, placed, run, handed, shown, whole):
    wanted = {
        "stored": stored,
        "placed": placed,
        "run": run,
        "handed over": handed,
        "shown": shown,
        "whole": whole,
    }
    found = {name: stage.median_s for name, stage in context.stages.items()}
    assert found == wanted, found
