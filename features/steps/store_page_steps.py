"""Steps on answers of the store that are limited in number or size."""

import asyncio
import json
import sys
from pathlib import Path

from behave import given, then, when

PLATFORM = Path(__file__).parent.parent.parent / "platform"
sys.path[:0] = [str(PLATFORM), str(PLATFORM / "standins")]

from hornbeampaddle_platform_standins.servers import StoreServer  # noqa: E402

from hornbeampaddle.cell.reports import NoAnswer  # noqa: E402
from hornbeampaddle_cell.ports import Keyed, Span, Topic, Unavailable  # noqa: E402
from hornbeampaddle_platform.store import READ_OFFSETS, Store  # noqa: E402
from hornbeampaddle_standins.cell.store import CellStore  # noqa: E402
from hornbeampaddle_wire.http_messages import Response  # noqa: E402

READ_MAX_BYTES = 1024 * 1024
READS_MAX = 100


class PagedStore(StoreServer):
    """A store that counts its pages of newest records, and may replace them."""

    def __init__(self):
        self.cell_store = CellStore()
        super().__init__(self.cell_store)
        self.pages = 0
        # The size after which the records of a read are cut off.
        self.cut_bytes = READ_MAX_BYTES
        # Called before each page but the first, with the number of pages before it;
        # returns a page's fields that replace its own, or None.
        self.before_page = lambda pages: None

    async def _newest(self, topic, query):
        replacing = self.before_page(self.pages) if self.pages else None
        self.pages += 1
        response = await super()._newest(topic, query)
        if replacing is None:
            return response
        body = json.loads(response.body) | replacing
        return Response(200, json.dumps(body).encode())

    async def _read(self, topic, query):
        response = await super()._read(topic, query)
        return Response(200, response.body[: READ_OFFSETS.size + self.cut_bytes])


def key(number):
    return f"w{number:06d}"


def write(store, name, value):
    store.cell_store.write(Topic.WORKERS, Keyed(name, value))


def read_store(context, act):
    async def run():
        address = await context.store.start()
        outcome = await act(Store(address))
        await context.store.server.close()
        return outcome

    return asyncio.run(run())


@given("a store with {count:d} keys of {size_bytes:d} bytes each")
def store_with_keys(context, count, size_bytes):
    context.store = PagedStore()
    for number in range(count):
        write(context.store, key(number), size_bytes * b"x")


@given("a store whose second page of {count:d} keys {what}")
def store_with_bad_page(context, count, what):
    store_with_keys(context, count, 10)
    again = {"key": key(499), "value": "eA==", "offset": 0}
    items = [again] if what.startswith("lists") else []
    context.store.before_page = lambda pages: (
        {"items": items, "hasMore": True} if pages == 1 else None
    )


@when("the newest records are read")
def read_newest(context):
    context.outcome = read_store(context, lambda store: store.newest(Topic.WORKERS))


@then("all of them are returned, from {pages:d} pages")
def all_returned(context, pages):
    newest = context.store.cell_store.logs[Topic.WORKERS].newest
    assert {r.key: r.value for r in context.outcome.records} == newest
    assert context.store.pages == pages, context.store.pages


@when("the newest records are read while keys come, change and go between the pages")
def read_changing(context):
    store = context.store

    def change(pages):
        last = 500 * pages - 1
        write(store, key(last), None)
        write(store, key(last - 1), b"changed")
        write(store, key(last + 1), b"changed")
        write(store, f"{key(last - 2)}new", b"came")

    store.before_page = change

    async def read_all(client):
        newest = await client.newest(Topic.WORKERS)
        span = Span(newest.end_offset, 0.0, READ_MAX_BYTES)
        return newest, await client.read(Topic.WORKERS, span)

    context.newest, context.batch = read_store(context, read_all)
    assert store.pages == 3, store.pages


@when("the log is read on from there")
def read_on(context):
    context.known = {r.key: r.value for r in context.newest.records}
    for record in context.batch.records:
        context.known[record.key] = record.value
    assert context.batch.next_offset == context.batch.end_offset


@then("the records that are known are the newest ones")
def known_newest(context):
    known = {name: value for name, value in context.known.items() if value is not None}
    assert known == context.store.cell_store.logs[Topic.WORKERS].newest


@then("it counts as no answer")
def no_answer(context):
    assert isinstance(context.outcome, NoAnswer), type(context.outcome)


@given(
    "a log of {count:d} records of {size_bytes:d} bytes "
    "whose reads end after {cut_bytes:d} bytes"
)
def cutting_store(context, count, size_bytes, cut_bytes):
    store_with_keys(context, count, size_bytes)
    context.store.cut_bytes = cut_bytes


@when("the log is read to its end")
def read_to_end(context):
    async def read_all(client):
        records = []
        for _ in range(READS_MAX):
            span = Span(len(records), 0.0, READ_MAX_BYTES)
            batch = await client.read(Topic.WORKERS, span)
            records += batch.records
            assert batch.next_offset == len(records)
            if batch.next_offset == batch.end_offset:
                break
        return records

    context.records = read_store(context, read_all)


@then("its {count:d} records are returned unchanged")
def records_unchanged(context, count):
    log = context.store.cell_store.logs[Topic.WORKERS]
    assert len(context.records) == count, len(context.records)
    assert context.records == log.records


@when("the log is read")
def read_once(context):
    span = Span(0, 0.0, READ_MAX_BYTES)
    context.outcome = read_store(context, lambda s: s.read(Topic.WORKERS, span))


@then("the read counts as refused")
def refused(context):
    assert isinstance(context.outcome, Unavailable), type(context.outcome)
