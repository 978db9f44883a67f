"""The platform's store as PROTOCOL.md has it: a log with topics of one partition."""

import asyncio
import base64
import struct
from dataclasses import dataclass, field

from web import Reply, Request, Server, json_reply

LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
# "4 ms an answer" and "appendMs" of the settings.
ANSWER_S = 0.004
APPEND_S = 0.002
RECORD_BYTES_MAX = 262_144
REQUEST_BYTES_MAX = 2_097_152
NEWEST_ITEMS_MAX = 500
REPEATS_MAX = 5
OPERATOR_TOPICS = ("keyed.op", "keyed.servers")


@dataclass(slots=True)
class Producer:
    """What a partition knows of one producer."""

    epoch: int = -1
    next_number: int | None = None
    answers: dict[int, dict] = field(default_factory=dict)


@dataclass(slots=True)
class Log:
    """One topic's only partition."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    producers: dict[str, Producer] = field(default_factory=dict)
    appending: asyncio.Lock = field(default_factory=asyncio.Lock)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, contents: list[bytes]) -> dict:
        """Append records; return the answer."""
        offset = len(self.records)
        for content in contents:
            key_end = 1 + content[0]
            key, value = content[1:key_end].decode(), content[key_end:]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        self.changed.set()
        self.changed = asyncio.Event()
        return {"offset": offset, "endOffset": len(self.records)}


class Store:
    """The store's server; ``refusals`` counts the answers that are not 200."""

    def __init__(self) -> None:
        """Start empty."""
        self.logs: dict[str, Log] = {}
        self.server = Server(self.handle)
        self.refusals: dict[str, int] = {}

    def log(self, topic: str) -> Log:
        """Return a topic, created on first use."""
        return self.logs.setdefault(topic, Log())

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Write as the operator or a worker does."""
        self.log(topic).add([bytes([len(key)]) + key.encode() + value])

    async def handle(self, request: Request) -> Reply | None:
        """Answer one call."""
        await asyncio.sleep(ANSWER_S / 2)
        reply = await self._answer(request)
        if reply.status != 200:
            name = f"{request.path} {reply.status}"
            self.refusals[name] = self.refusals.get(name, 0) + 1
        await asyncio.sleep(ANSWER_S / 2)
        return reply

    async def _answer(self, request: Request) -> Reply:
        topic = request.query.get("topic", "")
        if request.query.get("part", "0") != "0":
            return json_reply(400, {})
        match request.path:
            case "/v1/log-append":
                return await self._append(topic, request)
            case "/v1/log-read":
                return await self._read(self.log(topic), request.query)
            case "/v1/log-newest":
                return self._newest(self.log(topic), request.query)
        return json_reply(404, {})

    async def _append(self, topic: str, request: Request) -> Reply:
        if topic in OPERATOR_TOPICS:
            return json_reply(403, {})
        log, query = self.log(topic), request.query
        contents = list(_split(request.body))
        if len(request.body) > REQUEST_BYTES_MAX:
            return json_reply(413, {})
        if any(len(content) > RECORD_BYTES_MAX for content in contents):
            return json_reply(413, {})
        async with log.appending:
            await asyncio.sleep(APPEND_S)
            if "producer" in query:
                return self._append_numbered(log, contents, query)
            if "at" in query and int(query["at"]) != len(log.records):
                return json_reply(412, {"endOffset": len(log.records)})
            return json_reply(200, log.add(contents))

    def _append_numbered(
        self, log: Log, contents: list[bytes], query: dict[str, str]
    ) -> Reply:
        producer = log.producers.setdefault(query["producer"], Producer())
        epoch, number = int(query["epoch"]), int(query["seqNum"])
        if epoch < producer.epoch:
            return json_reply(409, {"reason": "fenced"})
        if epoch > producer.epoch:
            producer = log.producers[query["producer"]] = Producer(epoch)
        end = len(log.records)
        if not contents:
            return json_reply(200, {"offset": end, "endOffset": end})
        if number in producer.answers:
            return json_reply(200, producer.answers[number])
        if producer.next_number is not None and number != producer.next_number:
            reason = {"reason": "seq", "seqNum": producer.next_number}
            return json_reply(409, reason)
        if "at" in query and int(query["at"]) != end:
            return json_reply(412, {"endOffset": end})
        answer = producer.answers[number] = log.add(contents)
        producer.answers.pop(number - REPEATS_MAX, None)
        producer.next_number = number + 1
        return json_reply(200, answer)

    async def _read(self, log: Log, query: dict[str, str]) -> Reply:
        begin = int(query["from"])
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query.get("waitMs", "0")) / 1000
        while begin >= len(log.records) and loop.time() < until_s:
            try:
                async with asyncio.timeout(until_s - loop.time()):
                    await log.changed.wait()
            except TimeoutError:
                break
        left = int(query.get("maxKb", "1024")) * 1024
        parts = [OFFSETS.pack(len(log.records), 0)]
        for content in log.records[begin:]:
            left -= len(content)
            if left < 0 and len(parts) > 1:
                break
            parts.append(LENGTH.pack(len(content)) + content)
        return Reply(200, b"".join(parts), "application/octet-stream")

    def _newest(self, log: Log, query: dict[str, str]) -> Reply:
        after = query.get("dependsOn", "")
        keys = sorted(key for key in log.newest if key > after)
        items, size = [], 0
        for key in keys[:NEWEST_ITEMS_MAX]:
            offset, value = log.newest[key]
            size += len(value)
            if size > 1024 * 1024 and items:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        more = len(items) < len(keys)
        answer = {"items": items, "hasMore": more, "endOffset": len(log.records)}
        return json_reply(200, answer)


def _split(body: bytes) -> list[bytes]:
    contents, position = [], 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        contents.append(body[position : position + length])
        position += length
    return contents
