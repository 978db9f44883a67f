"""Steps that send requests through the platform's border."""

import json
import sys
from pathlib import Path

from behave import then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent.parent / "platform"))

from hornbeampaddle_cell.ports import Keyed  # noqa: E402
from hornbeampaddle_platform.ingress import Ingress  # noqa: E402
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
