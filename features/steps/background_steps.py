"""Steps on work that nobody awaits."""

import asyncio

import structlog
from behave import given, then, when

from hornbeampaddle_standins.cell.world import WorldCodec
from hornbeampaddle_wire import background


def _run_logged(context, work):
    with structlog.testing.capture_logs() as context.lines:
        asyncio.run(work())


async def _fail():
    raise RecursionError("too deep")


async def _settle():
    for _ in range(3):
        await asyncio.sleep(0)


@given("work in the background that ends by an error")
def fail_in_background(context):
    async def work():
        failing = background.start(_fail(), "the list")
        await _settle()
        assert failing.done()

    _run_logged(context, work)


@given("work in the background that is cancelled, and some that is done")
def end_in_background(context):
    async def work():
        cancelled = background.start(asyncio.sleep(60.0), "a long one")
        done = background.start(asyncio.sleep(0.0), "a short one")
        await asyncio.sleep(0)
        cancelled.cancel()
        await _settle()
        assert cancelled.cancelled() and done.done()

    _run_logged(context, work)


@given("a callback that ends by an error")
def fail_in_callback(context):
    def fail():
        raise RecursionError("too deep")

    async def work():
        loop = asyncio.get_running_loop()
        background.log_loop_errors(loop)
        loop.call_soon(fail)
        await _settle()

    _run_logged(context, work)


@then('one line "{event}" names the work and the error')
def named(context, event):
    (line,) = context.lines
    assert line["event"] == event and line["work"] == "the list", line
    assert "too deep" in line["error"] and line["exc_info"], line


@then('one line "{event}" has the error')
def logged(context, event):
    (line,) = context.lines
    assert line["event"] == event and "too deep" in line["error"], line


@then("no failure is logged")
def nothing_logged(context):
    assert not context.lines, context.lines


class _FailingCodec(WorldCodec):
    """Fails at the first entry that it reads."""

    failed = False

    def worker(self, record):
        if not self.failed:
            self.failed = True
            raise RecursionError("too deep")
        return super().worker(record)


@when("the holder's reader of the list of workers is to end by an error")
def fail_reader(context):
    world = context.world
    instance = world.instances[world.holder()]
    context.epoch = instance.holder.epoch
    instance.codec = _FailingCodec()
    capturing = structlog.testing.capture_logs()
    context.lines = capturing.__enter__()
    context.add_cleanup(capturing.__exit__, None, None, None)


@then("the holder's term is a later one")
def later_term(context):
    world = context.world
    assert world.instances[world.holder()].holder.epoch > context.epoch


@then('one line "{event}" names "{work}" and the error')
def part_named(context, event, work):
    (line,) = [line for line in context.lines if line["event"] == event]
    assert line["work"] == work and "too deep" in line["error"], line
    assert line["exc_info"], line
