"""Steps on work that nobody awaits."""

import asyncio
import json
import os
import sys
from pathlib import Path
from unittest import mock

import cappa
import msgspec
import structlog
from behave import given, then, when

from bench.processes import free_ports

sys.path.insert(0, str(Path(__file__).parent.parent.parent / "platform"))

from hornbeampaddle_cell.instance import Instance
from hornbeampaddle_cell.logs import LogWriter
from hornbeampaddle_cell.overrides import Overrides
from hornbeampaddle_entry.main import _serve
from hornbeampaddle_entry.settings import parse_settings
from hornbeampaddle_entry.streams import StreamLink
from hornbeampaddle_platform.boot import Boot
from hornbeampaddle_platform.main import Daemon
from hornbeampaddle_standins.cell.world import WorldCodec
from hornbeampaddle_wire import background
from hornbeampaddle_wire.peer_requests import PeerChannel

# A separate loopback address avoids conflicts on the fixed metrics port.
HOST = "127.0.0.87"
BOOT = {
    "nodeName": "edge-1",
    "zone": "dc-1",
    "ip": HOST,
    "internalPorts": [7820, 7821],
    "listenAddrs": {"frontend": f"{HOST}:7811", "readiness": f"{HOST}:7812"},
    "platform": {"address": f"{HOST}:7813"},
}


PARTS = {"instance": Instance, "requests of peers": PeerChannel, "log": LogWriter}


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


@then('a line "{event}" names "{work}" and the error')
def part_named(context, event, work):
    line, *_ = [line for line in context.lines if line["event"] == event]
    assert line["work"] == work and "too deep" in line["error"], line
    assert line["exc_info"], line


@given("a process of which {part} ends by an error")
def start_process(context, part):
    reader, descriptor = os.pipe()
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, descriptor)
    writer = LogWriter(descriptor)

    async def run():
        daemon = Daemon(msgspec.convert(BOOT, Boot), Overrides())
        servers = (daemon.callers, daemon.readiness, daemon.metrics)
        try:
            async with asyncio.timeout(5.0):
                with mock.patch.object(PARTS[part], "run", lambda part: _fail()):
                    await daemon.run(writer)
        except SystemExit as end:
            context.exit_code = end.code
        finally:
            await asyncio.gather(*(server.close() for server in servers))

    context.exit_code = None
    _run_logged(context, run)


@given("an entry instance whose reader of a log ends by an error")
def start_entry_instance(context):
    ports = free_ports(4)
    listen = ("callers", "operators", "peers")
    addresses = [{"host": "127.0.0.1", "port": port} for port in ports]
    raw = {
        "instance_id": "e0",
        "data_centre": "brno",
        "listen": dict(zip(listen, addresses, strict=False)),
        "platform": {"log": addresses[3], "instances": addresses[3]},
        "peers": [],
        "peer_key": "0123456789abcdef0123456789abcdef",
        "operator_token": "operators-of-the-test",
    }

    async def run():
        settings = parse_settings(json.dumps(raw)).unwrap()
        try:
            async with asyncio.timeout(5.0):
                with mock.patch.object(StreamLink, "follow", lambda link: _fail()):
                    await _serve(settings)
        except cappa.Exit as end:
            context.exit_code = end.code

    context.exit_code = None
    _run_logged(context, run)


@then("the process ends with {code:d} within 5 s")
def process_ended(context, code):
    assert context.exit_code == code, context.exit_code
