"""Steps that send requests through the platform's border."""

import json
import os
import sys
import tempfile
from pathlib import Path
from unittest.mock import patch

import structlog
from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent.parent / "platform"))

from hornbeampaddle.machines import Address  # noqa: E402
from hornbeampaddle_cell.ports import Keyed  # noqa: E402
from hornbeampaddle_platform.boot import (  # noqa: E402
    PATH_VARIABLE,
    BootError,
    instance_settings,
    read_boot,
)
from hornbeampaddle_platform.ingress import Ingress  # noqa: E402
from hornbeampaddle_platform.records import Records  # noqa: E402
from hornbeampaddle_platform.store import decode_records, encode_record  # noqa: E402
from hornbeampaddle_wire.http_messages import Request  # noqa: E402

PHASE = {"count": 2, "cpu": 500, "memMb": 64, "unknown": [1, {"a": None}]}
BODIES = {
    "a job": {"spec": "work", "phases": [PHASE, {**PHASE, "dependsOn": [0]}]},
    "a wrong type": {"spec": 7, "phases": [PHASE]},
    "no steps": {"spec": "work", "phases": []},
    "an empty step": {"spec": "work", "phases": [{**PHASE, "count": 0}]},
    "a circle": {"spec": "work", "phases": [{**PHASE, "dependsOn": [0]}]},
    "a later step": {"spec": "work", "phases": [{**PHASE, "dependsOn": [1]}, PHASE]},
}
RAW = {"garbage": b"\x00{not json", "nothing": b""}


@when('the border gets {method} "{path}" for host "{host}" with {body}')
def send(context, method, path, host, body):
    instance = context.world.instances["i0"]
    data = RAW[body] if body in RAW else json.dumps(BODIES[body]).encode()
    request = Request(method, path, {"host": host}, data)
    handle = Ingress(instance).handle(request)
    context.response = context.loop.run_until_complete(handle)


@then("it answers {status:d}")
def answers(context, status):
    assert context.response.status == status, context.response


@then("nothing more than a good job was stored")
def stored(context):
    good = context.response.status == 200 and context.response.body == b"{}"
    topics = context.world.store.logs.values()
    jobs = [key for log in topics for key in log.newest if key.startswith("0000")]
    assert len(set(jobs)) == (1 if good else 0), jobs


@then("any keyed records are the same after the wire")
def round_trip(context):
    record = st.builds(
        Keyed, st.text(max_size=60), st.one_of(st.none(), st.binary(min_size=1))
    )

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @any_of(st.lists(record, max_size=20))
    def check(records):
        data = b"".join(map(encode_record, records))
        assert decode_records(data) == records

    check()


BOOT = """nodeName = "entry-1"
zone = "dc-1"
ip = "127.0.0.1"
internalPorts = [7720, 7735]
[listenAddrs]
frontend = "127.0.0.1:8161"
readiness = "127.0.0.1:8167"
[platform]
address = "127.0.0.1:8169"
"""
BOOTS = {
    "everything": BOOT,
    "no ports between processes": BOOT.replace("internalPorts = [7720, 7735]\n", ""),
    "fields that nobody knows": BOOT + "\n[unknown]\nfield = [1, 'a']\n",
    "no address of the store": BOOT.replace('address = "127.0.0.1:8169"\n', ""),
    "no settings at all": "",
}


@given("a settings file with {what}")
def settings_file(context, what):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name, "settings.toml")
    path.write_text(BOOTS[what])
    context.path = str(path)


def read(context):
    with patch.dict(os.environ, {PATH_VARIABLE: context.path}):
        return instance_settings(read_boot())


@then("it is read, and peers are listened to")
def with_peers(context):
    assert read(context).peer_address == Address("127.0.0.1", 7720)


@then("it is read, and peers are not used")
def without_peers(context):
    assert read(context).peer_address is None


@then("it is refused with its path")
def refused(context):
    try:
        read(context)
    except BootError as error:
        assert context.path in str(error), error
    else:
        raise AssertionError("the settings were taken")


RECORDS = {
    "bytes that are no JSON": b"{routes",
    "no bytes of a text": b'{"version": "\xff"}',
    "JSON of a wrong form": b'{"version": "seven"}',
}


@given("a record of {what} from the operator and from a worker")
def bad_record(context, what):
    context.value = RECORDS[what]


@then("neither is taken and both are logged")
def not_taken(context):
    with structlog.testing.capture_logs() as lines:
        assert Records().configuration(Keyed("config", context.value)) is None
        assert Records().worker(Keyed("i-1", context.value)) is None
    assert [line["log_level"] for line in lines] == ["error", "error"], lines
