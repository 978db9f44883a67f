"""Steps on the records that instances store for one another."""

from random import Random

import msgspec
import structlog
from behave import given, then
from support.cell_walk import plain
from support.mutations import NESTED, UNKNOWN_FIELD, packed_bytes

from hornbeampaddle.cell.backlog import QueueBacklog
from hornbeampaddle.cell.jobs import Job
from hornbeampaddle.cell.learned import UnusableRecordError
from hornbeampaddle.cell.progress import JobState, encode
from hornbeampaddle.cell.run_times import RunTimes, RunTimesRecord
from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle.cell.urgent_demand import UrgentDemand, UrgentDemandRecord
from hornbeampaddle.machines import Address
from hornbeampaddle_cell.backlog_record import BACKLOG_KEY, backlog_record
from hornbeampaddle_cell.leadership import HolderRecord, Leadership, encode_holder
from hornbeampaddle_cell.ledger import JobChange, Ledger, job_record
from hornbeampaddle_cell.peers import PeerDirectory, peer_record
from hornbeampaddle_cell.ports import Keyed
from hornbeampaddle_cell.settings import InstanceSettings
from hornbeampaddle_standins.cell.world import URGENT

JOB_ID = "00000000000000aa"
JOB = Job(JOB_ID, URGENT, "", (plain(2),), 0.0)
BACKLOG = {"urgent": QueueBacklog(((1.0, 2.0),), 1000.0, 500.0, 1.0, 0.5)}


def _progress():
    state = JobState(JOB)
    state.open_occurrence(0)
    return encode(state)


RECORDS = {
    "a job": job_record(JOB).value,
    "a job's progress": _progress(),
    "the backlog": backlog_record(BACKLOG, 3, 5.0).value,
    "the holder": encode_holder(HolderRecord("i0-1", 7, "i0")),
    "a peer": peer_record("other", Address("10.0.0.2", 7720), 5.0, "dc-1").value,
    "the run times": msgspec.msgpack.encode(RunTimesRecord(1, {})),
    "the urgent need": msgspec.msgpack.encode(UrgentDemandRecord(1, [])),
}


def _further_field(value):
    match msgspec.msgpack.decode(value):
        case dict() as record:
            return packed_bytes({**record, UNKNOWN_FIELD: NESTED})
        case list() as record:
            return packed_bytes([*record, NESTED])


def _inherits(learner, value):
    try:
        learner.inherit(value)
    except UnusableRecordError:
        return False
    return True


def _used(what, value):
    """Return whether the reader of a record uses it."""
    ledger = Ledger()
    match what:
        case "a job":
            change, _ = ledger.apply_job(Keyed(JOB_ID, value))
            return change is JobChange.ACCEPTED
        case "a job's progress":
            ledger.apply_progress(Keyed(JOB_ID, value), 1.0)
            return JOB_ID in ledger.progress
        case "the backlog":
            ledger.apply_progress(Keyed(BACKLOG_KEY, value), 1.0)
            return ledger.backlog is not None
        case "the holder":
            settings = InstanceSettings("me-1", "me", "dc-1", 1.0)
            leadership = Leadership(settings, Random(1))
            leadership.observe(value, 1.0)
            return leadership.epoch == 7
        case "a peer":
            directory = PeerDirectory("me")
            directory.apply(Keyed("other", value))
            return len(directory) == 1
        case "the run times":
            return _inherits(RunTimes(CellSettings()), value)
        case "the urgent need":
            return _inherits(UrgentDemand(0.4, "no_room"), value)


@given("a stored record of {what}, and one with a further field that is nested")
def stored_records(context, what):
    context.what = what
    context.record = RECORDS[what]


@then("the first is used, and the second raises no error")
def check_records(context):
    with structlog.testing.capture_logs():
        assert _used(context.what, context.record)
        assert not _used(context.what, _further_field(context.record))
