"""Steps that apply records to a configuration, and steps for threshold settings."""

import tempfile
from pathlib import Path

from behave import given, then, when

from hornbeampaddle.configuration import Configuration, Stale, Void
from hornbeampaddle.records import ConfigChange, ConfigSnapshot, SetDrain
from hornbeampaddle_cell.overrides import OverrideError, apply, read_overrides
from hornbeampaddle_cell.settings import InstanceSettings

RACK = "rack:r0"


def _record(record_id, based_on, draining):
    change = SetDrain("rack", "r0", draining)
    return ConfigChange(record_id, {RACK: based_on}, (change,))


@given("a configuration with a rack drained at 0, filled at 1 and drained at 2")
def configuration(context):
    context.records = [
        _record("first", -1, True),
        _record("second", 0, False),
        _record("third", 1, True),
    ]
    context.configuration = Configuration()
    for offset, record in enumerate(context.records):
        context.configuration.apply(offset, record)


@when("the record of offset {offset:d} is delivered again")
def again(context, offset):
    record = context.records[offset]
    context.verdict = context.configuration.apply(offset, record)


@when("the record of offset {old:d} is appended again at offset {offset:d}")
def appended_again(context, old, offset):
    record = context.records[old]
    context.verdict = context.configuration.apply(offset, record)


@when("a record computed at offset {based_on:d} is appended at offset {offset:d}")
def append_from_older_state(context, based_on, offset):
    record = _record("late", based_on, False)
    context.verdict = context.configuration.apply(offset, record)


@when("a snapshot through offset {through:d} with the rack filled is restored")
def restore(context, through):
    snapshot = ConfigSnapshot("snapshot", through, versions={RACK: through})
    context.configuration.restore(snapshot)


def _check_rack(context, drained, offset):
    assert context.configuration.offset == offset
    assert (("rack", "r0") in context.configuration.drains) is drained


@then("it is stale, and the rack is drained at offset {offset:d}")
def is_stale(context, offset):
    assert isinstance(context.verdict, Stale), context.verdict
    _check_rack(context, True, offset)


@then('it is void for "{reason}", and the rack is drained at offset {offset:d}')
def is_void(context, reason, offset):
    assert isinstance(context.verdict, Void), context.verdict
    assert reason in context.verdict.reason
    _check_rack(context, True, offset)


@then("the rack is drained at offset {offset:d}")
def drained_at(context, offset):
    _check_rack(context, True, offset)


@then("the rack is filled at offset {offset:d}")
def filled_at(context, offset):
    _check_rack(context, False, offset)


@when("thresholds are read from {text}")
def read_thresholds(context, text):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    path = Path(directory.name, "settings.json")
    path.write_text(text)
    context.error = ""
    usual = InstanceSettings("i0-1", "i0", "dc-1", 1.0)
    try:
        context.settings = apply(usual, read_overrides(path))
    except OverrideError as error:
        context.error = str(error)


@then("they are the defaults")
def defaults(context):
    assert context.settings == InstanceSettings("i0-1", "i0", "dc-1", 1.0)


@then("the lease is {lease_s:d} s and a view is stale after {stale_s:d} s")
def lease_and_staleness_set(context, lease_s, stale_s):
    assert context.settings.cell.lease_s == lease_s
    assert context.settings.stale_s == stale_s


@then("a worker rests after {count:d} failures")
def whole(context, count):
    assert context.settings.cell.failures_in_row == count
    assert isinstance(context.settings.cell.failures_in_row, int)


@then("no room is kept for urgent jobs")
def kept_room_off(context):
    assert context.settings.cell.keeps_urgent_room is False


@then('the file is refused for "{text}"')
def file_refused(context, text):
    assert text in context.error, context.error
