"""Steps that tell stories from logs."""

import contextlib
import functools
import json
import os
import time

from behave import given, then, when

from hornbeampaddle_cell import logs
from hornbeampaddle_cli.story import one_line, parse, tell

# Loggers keep the writer that they met first, so all scenarios share one.
LINES = []


@functools.cache
def kept_log():
    _, write_end = os.pipe()
    writer = logs.set_up("cell", write_end)
    writer.add = lambda event, line: LINES.append(line.decode())


@given("its log is kept")
def keep_log(context):
    kept_log()
    LINES.clear()


@given("every worker fails everything")
def all_fail(context):
    for worker in context.world.workers.values():
        worker.fails_all = True


@then('the story of "{name}" says "{text}"')
def story_says(context, name, text):
    # Out of order and with a prefix, as collectors deliver them.
    texts = [f"  1.25 node-1 {line}" for line in reversed(LINES)]
    story = tell(parse(texts), name.rjust(16, "0"))
    assert text in story.cause, story.cause
    for line in story.lines:
        assert one_line(line, 0.0)


@given("a log writer with a reader that stands still")
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
    assert context.log.dropped > 0
    os.set_blocking(context.read_end, False)
    data = b""
    for _ in range(200):
        with contextlib.suppress(BlockingIOError):
            data += os.read(context.read_end, 1 << 20)
        context.log.flush()
    noted = [json.loads(x) for x in data.splitlines() if x.startswith(b"{")]
    assert noted and noted[0]["lines"] > 0, noted
