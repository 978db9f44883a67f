"""Steps that let crowds of clients come to real processes, and watch these."""

import asyncio
import http.client
import json
import signal
import socket
import sys
import tempfile
from contextlib import ExitStack
from dataclasses import replace
from unittest import mock

from behave import given, then, when
from support import crowds
from support.watched import (
    LOOPBACK,
    METRICS_PORT,
    MIB,
    PLATFORM,
    START_TIMEOUT_S,
    Watch,
    free_host,
    free_port,
    platform_entry,
    store_and_workers,
    wait_until,
)

from bench.processes import entries, standins, wait_for_workers

sys.path.insert(0, str(PLATFORM))

from hornbeampaddle_cell import metrics  # noqa: E402
from hornbeampaddle_cell.overrides import Overrides  # noqa: E402
from hornbeampaddle_cell.ports import Keyed  # noqa: E402
from hornbeampaddle_platform.boot import (  # noqa: E402
    Boot,
    ListenAddresses,
    StoreSettings,
)
from hornbeampaddle_platform.main import Daemon  # noqa: E402

QUEUE_HOST = "jobs.example"
PREFIX = "/checks/"
# Of a process's descriptors, those that are kept for files.
FILE_DESCRIPTORS = 200
PATIENCE_S = 20.0
# How often an ordinary caller tries again, as the pages say it does.
TRIES = 5
CROWD_BODY_BYTES = 4_000_000
# The largest head and body that the operator's limits on the pages allow.
HEAD_MAX_BYTES = 16_384
BODY_MAX_BYTES = 262_144
# What a sender of messages sends first, by the protocol of the peers' sockets.
PEER_GREETING = b"\x00SP\x00\x00\x50\x00\x00"
OWN_SERVICE = {
    "type": "AddService",
    "service": "checks",
    "repeat": "exclusive",
    "needs": {"cpu_millis": 1000, "memory_bytes": 0, "accelerators": 0},
    "team": "dispatch",
}
OWN_JOB = {
    "team": "dispatch",
    "kind": "archive",
    "run_s": 60.0,
    "needs": {"cpu_millis": 1000, "memory_bytes": 0, "accelerators": 0},
}
ORDINARY_JOB = {"spec": "work", "phases": [{"count": 1, "cpu": 1000, "memMb": 64}]}
# The operator's limits of the pages, but for the size of a body.
OPERATOR_LIMITS = {
    "maxHeaderBytes": 16_384,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15_000,
}


class PlatformSite:
    """An entry on the platform, its store and two workers."""

    def __init__(self, context, memory_mb, descriptors, body_bytes):
        stack = ExitStack()
        context.add_cleanup(stack.close)
        configuration = {
            "version": 1,
            "routes": [
                {
                    "name": "checks",
                    "host": QUEUE_HOST,
                    "pathPrefix": PREFIX,
                    "service": "compute",
                    "targetLatencyMs": 250,
                    "maxAttempts": 4,
                    "stretchFactor": 1.5,
                }
            ],
            "limits": {**OPERATOR_LIMITS, "maxBodyBytes": body_bytes},
        }
        store = stack.enter_context(store_and_workers(configuration))
        self.host = host = free_host()
        self.ports = {
            "callers": free_port(host),
            "readiness": free_port(host),
            "peers": free_port(host),
            "metrics": METRICS_PORT,
        }
        settings = f"""
            nodeName = "edge-1"
            zone = "dc-1"
            ip = "{host}"
            internalPorts = [{self.ports["peers"]}, {self.ports["peers"]}]
            [listenAddrs]
            frontend = "{host}:{self.ports["callers"]}"
            readiness = "{host}:{self.ports["readiness"]}"
            [limits]
            memoryMb = {memory_mb}
            maxFds = {descriptors}
            [platform]
            address = "{store}"
        """
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.memory_bytes = memory_mb * MIB
        self.sockets_max = descriptors - FILE_DESCRIPTORS
        self.path = PREFIX + 16 * "f"
        self.queue_host = QUEUE_HOST
        self.process = stack.enter_context(platform_entry(folder, settings))
        self.watch = Watch(self.process, host, self.memory_bytes)
        self.watch.start()
        stack.callback(self.watch.stop)
        self._jobs = 0
        assert wait_until(self.ordinary_answered, START_TIMEOUT_S)

    def call(self, method, path, body=None, listener="callers"):
        """Send one request on a connection of its own; return its status."""
        connection = http.client.HTTPConnection(
            self.host, self.ports[listener], timeout=PATIENCE_S
        )
        try:
            headers = {"Host": QUEUE_HOST}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            response.read()
            return response.status
        finally:
            connection.close()

    def state(self, job_id):
        """Return the state of a job."""
        connection = http.client.HTTPConnection(
            self.host, self.ports["callers"], timeout=PATIENCE_S
        )
        try:
            connection.request("GET", PREFIX + job_id, headers={"Host": QUEUE_HOST})
            return json.loads(connection.getresponse().read()).get("state")
        finally:
            connection.close()

    def submit(self, job):
        """Hand a job in under a new id; return the id and the status."""
        self._jobs += 1
        job_id = f"{self._jobs:016x}"
        body = json.dumps(job).encode()
        return job_id, self.call("POST", PREFIX + job_id, body)

    def ordinary_answered(self):
        """Return whether an ordinary job is accepted and the instance is ready."""
        try:
            ready = self.call("GET", "/v1/readyz", listener="readiness")
            return ready == 200 and self.submit(ORDINARY_JOB)[1] == 200
        except (OSError, http.client.HTTPException):
            return False


class OwnSite:
    """An instance of the own interface, and a worker that answers within a minute."""

    def __init__(self, context, memory_mb, descriptors):
        stack = ExitStack()
        context.add_cleanup(stack.close)
        platform = stack.enter_context(standins(1, service_ms=60_000))["platform"]
        self.entry = stack.enter_context(entries(1, platform))[0]
        wait_for_workers([self.entry], 1)
        self.entry.confirm(OWN_SERVICE)
        self.memory_bytes = memory_mb * MIB
        self.sockets_max = descriptors - FILE_DESCRIPTORS
        self.ports = {
            "callers": self.entry.callers,
            "operators": self.entry.operators,
            "peers": self.entry.peers,
        }
        self.host = LOOPBACK
        self.queue_host = LOOPBACK
        self.path = "/v1/requests/checks"
        self.process = self.entry.process
        self.watch = Watch(self.process, NO_HOST, self.memory_bytes)
        self.watch.start()
        stack.callback(self.watch.stop)

    def call(self, method, path, body):
        """Send one request on a connection of its own; return its status."""
        connection = http.client.HTTPConnection(
            LOOPBACK, self.ports["callers"], timeout=PATIENCE_S
        )
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            response.read()
            return response.status
        finally:
            connection.close()

    def ordinary_answered(self):
        """Return whether an ordinary request for a key is answered."""
        try:
            return self.call("POST", "/v1/keys", b'{"count": 1}') == 200
        except (OSError, http.client.HTTPException):
            return False


# Other processes of a test run listen on the loopback address of the own interface, so
# what the kernel holds there is not counted.
NO_HOST = "127.255.255.254"


def _steps_body(size_bytes):
    """Return a job of as many steps as fit into a body."""
    start, end = b'{"spec":"","phases":[{}', b"]}"
    count = (size_bytes - len(start) - len(end)) // len(b",{}")
    return start + count * b",{}" + end


def _message(number):
    """Return a message to a peer that lacks its last byte, of a stated length."""
    yield PEER_GREETING
    yield CROWD_BODY_BYTES.to_bytes(8, "big")
    yield (CROWD_BODY_BYTES - 1) * b"x"


def _whole_request(site, number, body):
    path = f"{site.path[:-4]}{number:04x}"
    yield crowds.head("POST", path, site.queue_host, f"Content-Length: {len(body)}")
    yield body


def _member(site, listener, kind, number):
    match kind:
        case "unfinished bodies":
            return crowds.unfinished_body(site.path, site.queue_host, CROWD_BODY_BYTES)
        case "unfinished chunked bodies":
            return crowds.unfinished_chunks(
                site.path, site.queue_host, CROWD_BODY_BYTES
            )
        case "unfinished messages":
            return _message(number)
        case "bodies of many steps":
            return _whole_request(site, number, _steps_body(262_144))
        case "large bodies of many steps":
            return _whole_request(site, number, _steps_body(4_194_304))
        case "bodies of smallest parts":
            return crowds.smallest_parts(site.path, site.queue_host, CROWD_BODY_BYTES)
        case "callers that never read":
            path = "/metrics" if listener == "metrics" else PREFIX
            request = crowds.head("GET", path, site.queue_host)
            return crowds.repeated(request, CROWD_BODY_BYTES)
        case "requests that wait":
            head = "Request-Timeout-S: 60"
            return crowds.whole_body(site.path, site.queue_host, CROWD_BODY_BYTES, head)
        case "silent connections":
            return iter(())
        case "silent peers":
            return iter([PEER_GREETING])
        case "halves of a head":
            return iter([f"POST {site.path} HTTP/1.1\r\nHost: ".encode()])
    raise ValueError(kind)


@given(
    "an entry of {memory_mb:d} MB and {descriptors:d} descriptors "
    "whose operator allows bodies of {body_bytes:d} bytes"
)
def start_entry(context, memory_mb, descriptors, body_bytes):
    context.site = PlatformSite(context, memory_mb, descriptors, body_bytes)
    context.crowds = []
    context.add_cleanup(_leave, context)


@given(
    "an instance of the own interface, of {memory_mb:d} MB and {descriptors:d} "
    "descriptors"
)
def start_own(context, memory_mb, descriptors):
    context.site = OwnSite(context, memory_mb, descriptors)
    context.crowds = []
    context.add_cleanup(_leave, context)


@when('a crowd of {count:d} "{kind}" has come to the "{listener}"')
def crowd_comes(context, count, kind, listener):
    site = context.site
    address = (site.host, site.ports[listener])
    members = [_member(site, listener, kind, number) for number in range(count)]
    crowd = crowds.Crowd(address, members)
    context.crowds.append(crowd)
    crowd.settle()


def _leave(context):
    while context.crowds:
        context.crowds.pop().leave()


@then("ordinary requests are answered beside the crowd")
def answered_beside(context):
    assert any(context.site.ordinary_answered() for _ in range(TRIES)), _held(context)


@then("an ordinary request is answered after the crowd has left")
def answered_afterwards(context):
    _leave(context)
    assert any(context.site.ordinary_answered() for _ in range(TRIES)), _held(context)


def _held(context):
    watch = context.site.watch
    memory_mb = round(watch.memory_peak_bytes / MIB)
    return f"{memory_mb} MB, {watch.sockets_peak} sockets, ran away: {watch.ran_away}"


@when("the process gets SIGTERM")
def terminate(context):
    context.site.process.send_signal(signal.SIGTERM)


@then("it ends with status {status:d}")
def check_ended(context, status):
    assert context.site.process.wait(PATIENCE_S) == status


@then("the process lives and has stayed within its settings")
def check_bounds(context):
    site = context.site
    site.watch.stop()
    assert site.process.poll() is None, _held(context)
    assert site.watch.memory_peak_bytes <= site.memory_bytes, _held(context)
    assert site.watch.sockets_peak <= site.sockets_max, _held(context)


JOBS = {
    "a job of a million tasks": {"spec": "", "phases": [{"count": 1_000_000}]},
    "a job of a million occurrences": {
        "spec": "",
        "phases": [{"count": 1}],
        "repeatCount": 1_000_000,
    },
    "a job of a payload of 200000 bytes": {
        "spec": 200_000 * "x",
        "phases": [{"count": 1}],
    },
}


@when("a caller hands in {what}")
def hand_in(context, what):
    context.job_id, context.status = context.site.submit(JOBS[what])


@then("it is refused with status {status:d}, and its state with status {gone:d}")
def check_refused(context, status, gone):
    assert context.status == status, context.status
    assert context.site.call("GET", PREFIX + context.job_id) == gone


@when("callers hand in {count:d} jobs of {tasks:d} tasks that no worker can hold")
def hand_in_many(context, count, tasks):
    job = {"spec": "", "phases": [{"count": tasks, "cpu": 2_000_000}]}
    context.job_ids = [context.site.submit(job)[0] for _ in range(count)]


@when("callers hand in {count:d} jobs of {tasks:d} tasks to the own interface")
def hand_in_own(context, count, tasks):
    for number in range(count):
        job = {**OWN_JOB, "job_id": f"crowd-{number}", "tasks": tasks}
        context.site.call("POST", "/v1/jobs", json.dumps(job))


@when("callers hand in {count:d} jobs of {steps:d} steps")
def hand_in_steps(context, count, steps):
    job = {"spec": "", "phases": steps * [{"cpu": 2_000_000}]}
    context.job_ids = [context.site.submit(job)[0] for _ in range(count)]


@then("an ordinary job is completed after the crowd's jobs are cancelled")
def check_completed(context):
    cancel_jobs(context)
    site = context.site
    job_id, status = site.submit(ORDINARY_JOB)
    assert status == 200, status
    assert wait_until(lambda: site.state(job_id) == "completed", PATIENCE_S)


@when("the crowd's jobs are cancelled")
def cancel_jobs(context):
    for job_id in context.job_ids:
        context.site.call("DELETE", PREFIX + job_id)


@when("a payload of {payload:d} bytes is handed in in the largest head and body")
def hand_in_largest(context, payload):
    site = context.site
    start = json.dumps({**ORDINARY_JOB, "spec": payload * "x", "more": ""}).encode()
    body = start[:-2] + (BODY_MAX_BYTES - len(start)) * b"x" + start[-2:]
    length = f"Content-Length: {len(body)}"
    shortest = len(crowds.head("POST", site.path, QUEUE_HOST, length, "A: "))
    padding = f"A: {(HEAD_MAX_BYTES - shortest) * 'x'}"
    head = crowds.head("POST", site.path, QUEUE_HOST, length, padding)
    assert (len(head), len(body)) == (HEAD_MAX_BYTES, BODY_MAX_BYTES)
    _send_then_read(context, [head, body])


@then("it is accepted")
def check_accepted(context):
    assert context.answer[0] == 200, context.answer


@given("a process on the platform")
def build_process(context):
    boot = Boot("edge-1", "dc-1", StoreSettings("127.0.0.1:1"), ListenAddresses())

    async def build():
        return Daemon(boot, Overrides())

    context.daemon = asyncio.run(build())
    context.limits_before = context.daemon.callers.limits


@when(
    "a configuration allows heads of {header:d} bytes in {head_s:d} s, "
    "bodies of {body:d} and {idle_s:d} s of idleness"
)
def configure_limits(context, header, head_s, body, idle_s):
    limits = {
        "maxHeaderBytes": header,
        "maxBodyBytes": body,
        "headerTimeoutMs": 1000 * head_s,
        "idleTimeoutMs": 1000 * idle_s,
    }
    context.expected = replace(
        context.limits_before,
        header_bytes=header,
        head_timeout_s=head_s,
        body_bytes=body,
        idle_timeout_s=idle_s,
    )
    value = json.dumps({"version": 1, "routes": [], "limits": limits}).encode()
    context.daemon.instance._apply_operator_records([Keyed("config", value)])


@then(
    "these are the limits of the callers' listener, and its other limits are unchanged"
)
def check_limits(context):
    assert context.daemon.callers.limits == context.expected


@when("the metrics of an instance are asked for {count:d} times")
def ask_for_metrics(context, count):
    instance_metrics = metrics.Metrics()
    with mock.patch.object(
        metrics, "generate_latest", wraps=metrics.generate_latest
    ) as context.collect:
        context.texts = [instance_metrics.text() for _ in range(count)]


@then("they were collected twice at most, and each answer has them")
def check_collected(context):
    assert context.collect.call_count <= 2, context.collect.call_count
    assert all(b"hornbeampaddle_holding" in text for text in context.texts)


def _request(site, what):
    """Return a request that is refused, as the pieces that are sent."""
    match what:
        case "a body far over the limit":
            return crowds.whole_body(site.path, site.queue_host, 2 * CROWD_BODY_BYTES)
        case "a body just over the operator's limit":
            return crowds.whole_body(site.path, site.queue_host, 262_145)
        case "chunks far over the limit":
            return crowds.unfinished_chunks(
                site.path, site.queue_host, 2 * CROWD_BODY_BYTES
            )
        case "a head far over the limit":
            return iter([f"GET / HTTP/1.1\r\nA: {CROWD_BODY_BYTES * 'x'}".encode()])
    raise ValueError(what)


@when("a caller sends {what} and then reads")
def send_then_read(context, what):
    _send_then_read(context, _request(context.site, what))


def _send_then_read(context, pieces):
    site = context.site
    with socket.create_connection(
        (site.host, site.ports["callers"]), timeout=PATIENCE_S
    ) as connection:
        for piece in pieces:
            connection.sendall(piece)
        response = http.client.HTTPResponse(connection)
        response.begin()
        context.answer = response.status, response.read()


@then("it has read a whole answer of status {status:d}")
def check_answer(context, status):
    assert context.answer[0] == status, context.answer
    assert context.answer[1], context.answer
