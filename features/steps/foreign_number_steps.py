"""Steps on numbers that other writers have put into the operator's records."""

import json
import sys
from pathlib import Path

import structlog
from behave import given, then
from hypothesis import given as hypothesis_given
from hypothesis import settings
from hypothesis import strategies as st
from prometheus_client import Gauge

sys.path.insert(0, str(Path(__file__).parent.parent.parent / "platform"))

from support.cell_player import Player  # noqa: E402
from support.cell_player import step as plain_step  # noqa: E402

from hornbeampaddle.cell.jobs import Job  # noqa: E402
from hornbeampaddle.cell.urgency import job_urgency  # noqa: E402
from hornbeampaddle_cell.ledger import JobChange, Ledger, job_record  # noqa: E402
from hornbeampaddle_cell.ports import (  # noqa: E402
    Configuration,
    Keyed,
    UnreadableConfiguration,
)
from hornbeampaddle_platform.records import Records  # noqa: E402
from hornbeampaddle_platform.store import decode_records, encode_record  # noqa: E402

ROUTE = {"name": "q", "host": "h", "pathPrefix": "/q/", "service": "compute"}
# The numbers of a configuration, by the object that holds them.
TOP_NUMBERS = ("version",)
ROUTE_NUMBERS = ("priority", "maxAttempts", "targetLatencyMs", "stretchFactor")
ADVICE_NUMBERS = ("decisionMs", "perWorkerMs")
LIMIT_NUMBERS = (
    "maxHeaderBytes",
    "maxBodyBytes",
    "headerTimeoutMs",
    "idleTimeoutMs",
)
ODD_NUMBERS = {
    "a version of 2**64": ("version", 2**64),
    "a version of 4,000 digits": ("version", 10**3999),
    "a priority of 2**64": ("priority", 2**64),
    "a priority of -2**64": ("priority", -(2**64)),
    "a priority of 4,000 digits": ("priority", 10**3999),
    "2**64 attempts": ("maxAttempts", 2**64),
    "a latency target of 1e300 ms": ("targetLatencyMs", 1e300),
    "a stretch factor of 1e300": ("stretchFactor", 1e300),
    "an advice time of 1e300 ms": ("decisionMs", 1e300),
    "a body limit of 2**64": ("maxBodyBytes", 2**64),
    "an idle timeout of 1e300 ms": ("idleTimeoutMs", 1e300),
}


def configuration_bytes(numbers):
    """Return a configuration in which the numbers of these names are replaced."""

    def chosen(names):
        return {name: numbers[name] for name in names if name in numbers}

    route = ROUTE | chosen(ROUTE_NUMBERS) | {"advice": chosen(ADVICE_NUMBERS)}
    limits = chosen(LIMIT_NUMBERS)
    whole = {"version": 1, "routes": [route], "limits": limits} | chosen(TOP_NUMBERS)
    return json.dumps(whole).encode()


@given("the operator's configuration with {what}")
def odd_configuration(context, what):
    name, number = ODD_NUMBERS[what]
    context.value = configuration_bytes({name: number})


@then("it is not understood, which is logged")
def configuration_not_understood(context):
    with structlog.testing.capture_logs() as lines:
        read = Records().configuration(Keyed("config", context.value))
    assert read == UnreadableConfiguration(), read
    assert [line["event"] for line in lines] == ["configuration: not understood"]


def consume(configuration):
    """Let all that reads a configuration's numbers read them."""
    gauge = Gauge("version", "of the configuration", registry=None)
    gauge.set(configuration.version)
    float(gauge.collect()[0].samples[0].value)
    (route,) = configuration.routes
    job = Job("late", route.queue, "p", (plain_step(2, 1000),), 0.0)
    record = job_record(job)
    assert decode_records(encode_record(record)) == [record]
    ledger = Ledger()
    assert ledger.apply_job(record) == (JobChange.ACCEPTED, "late")
    player = Player()
    player.add_workers(2, 4_000)
    player.submit("late", route.queue, plain_step(2, 1000), 0.3)
    player.submit("other", route.queue, plain_step(1, 1000), 0.3)
    job_urgency(player.cell.jobs["late"], player.cell.mean_work, player.now_s)
    player.play(1.0)
    for _, entry in player.notes:
        json.dumps(entry.detail, default=str)


NUMBERS = st.one_of(
    st.integers(-(2**70), 2**70),
    st.sampled_from([0, -1, 2**31, 2**53, 2**53 + 1, 2**63, 2**64, 10**300]),
    st.floats(allow_nan=False, allow_infinity=False),
)
NAMES = (*TOP_NUMBERS, *ROUTE_NUMBERS, *ADVICE_NUMBERS, *LIMIT_NUMBERS)


@then("arbitrary numbers in a configuration fail in no later place")
def arbitrary_numbers(context):
    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @hypothesis_given(st.dictionaries(st.sampled_from(NAMES), NUMBERS, max_size=4))
    def check(numbers):
        with structlog.testing.capture_logs():
            value = configuration_bytes(numbers)
            read = Records().configuration(Keyed("config", value))
            if isinstance(read, Configuration):
                consume(read)

    check()
