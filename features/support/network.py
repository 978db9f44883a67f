"""Simulate the links between instances and the platform, with faults and pauses."""

import asyncio
import random
from dataclasses import dataclass, field

from result import Err, Ok

from hornbeampaddle.contracts import Fenced, NoAnswer, NotSent, Refused
from hornbeampaddle_entry.ports import AnswerCutShort, Answered, Page
from hornbeampaddle_standins.log import LogFault
from hornbeampaddle_standins.worker import RequestRun
from hornbeampaddle_wire.peers import PeerSockets

CALL_TIMEOUT_S = 1.0
IN_ORDER_DELAY_MAX_S = 0.005
LATE_START_DELAY_S = 1.5


@dataclass
class Faults:
    """The probabilities that a message is late or repeated, or its answer lost."""

    late: float = 0.0
    answer_lost: float = 0.0
    repeated: float = 0.0
    late_s: float = 3.0


@dataclass
class Network:
    """All links; their ends are instance ids, worker ids or ``log``."""

    rng: random.Random
    faults: Faults = field(default_factory=Faults)
    cut: set = field(default_factory=set)
    gates: dict = field(default_factory=dict)
    peers: dict = field(default_factory=dict)
    # The faults of the next runs of requests, in order.
    run_faults: list = field(default_factory=list)
    # The faults of the next starts of attempts, in order.
    start_faults: list = field(default_factory=list)
    last_arrival_s: dict = field(default_factory=dict)

    def delay_s(self):
        if self.faults.late and self.rng.random() < self.faults.late:
            return self.rng.uniform(0.1, self.faults.late_s)
        return self.rng.uniform(0.0005, 0.003)

    def arrival_s(self, source, target):
        """Return when a message arrives: in order, except for late messages."""
        now_s = asyncio.get_running_loop().time()
        at_s = now_s + self.delay_s()
        if at_s - now_s > IN_ORDER_DELAY_MAX_S:
            return at_s
        last_s = self.last_arrival_s.get((source, target), 0.0)
        self.last_arrival_s[(source, target)] = max(at_s, last_s + 1e-6)
        return self.last_arrival_s[(source, target)]

    def open(self, source, target):
        return (source, target) not in self.cut

    def cut_both(self, one, other):
        self.cut |= {(one, other), (other, one)}

    def heal(self):
        self.cut.clear()

    async def gate(self, instance_id):
        """Wait while an instance's process is paused."""
        while (gate := self.gates.get(instance_id)) is not None:
            await gate.wait()

    async def exchange(self, source, target, effect):
        """Deliver a call to ``target``, let it take effect, and return the answer.

        Returns NotSent, NoAnswer or the result of ``effect``. A late call takes effect
        even when its caller has stopped waiting.
        """
        await self.gate(source)
        loop = asyncio.get_running_loop()
        if not self.open(source, target):
            await asyncio.sleep(CALL_TIMEOUT_S)
            await self.gate(source)
            return NotSent("cut")
        answer = loop.create_future()

        def arrive():
            if not self.open(source, target):
                return
            value = effect()
            lost = self.rng.random() < self.faults.answer_lost
            if not lost and self.open(target, source):
                loop.call_later(self.delay_s(), return_answer, value)

        def return_answer(value):
            if not answer.done():
                answer.set_result(value)

        loop.call_later(self.delay_s(), arrive)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                value = await answer
        except TimeoutError:
            value = NoAnswer("timed out")
        await self.gate(source)
        return value


class FakePeers(PeerSockets):
    """Peer sockets whose messages are subject to the network's faults."""

    def __init__(self, network, instance_id, data_centre, incarnation, receiver):
        super().__init__(data_centre, incarnation, b"key", receiver)
        self.network = network
        self.instance_id = instance_id

    def listen(self, address):
        self.network.peers[self.instance_id] = self

    def dial(self, instance_id, address):
        pass

    def _push(self, instance_id, data):
        network = self.network
        if not network.open(self.instance_id, instance_id):
            return True
        loop = asyncio.get_running_loop()
        copies = 2 if network.rng.random() < network.faults.repeated else 1
        for _ in range(copies):
            at_s = network.arrival_s(self.instance_id, instance_id)
            loop.call_at(at_s, self._arrive, instance_id, data)
        return True

    def _arrive(self, instance_id, data):
        peer = self.network.peers.get(instance_id)
        if peer is not None and self.network.open(self.instance_id, instance_id):
            peer.take(data)

    def close(self):
        if self.network.peers.get(self.instance_id) is self:
            del self.network.peers[self.instance_id]


class FakeWorker:
    """A worker port that calls a worker's state machine."""

    def __init__(self, network, instance_id, machine, clock, run_s):
        self.network = network
        self.instance_id = instance_id
        self.machine = machine
        self.clock = clock
        self.run_s = run_s

    async def _call(self, effect):
        target = self.machine.worker.worker_id
        return await self.network.exchange(self.instance_id, target, effect)

    async def claim(self, call, decider):
        return await self._call(lambda: self.machine.claim(decider, self.clock()))

    async def start(self, call):
        faults = self.network.start_faults
        fault = faults.pop(0) if faults else ""
        match fault:
            case "lost on the way":
                return NoAnswer("no answer")
            case "not sent":
                return NotSent("cut")
            case "refused":
                return Refused("lease deadline has passed")

        def effect():
            return self.machine.start(
                call.epoch, call.order, call.lease_deadline_s, self.clock()
            )

        if fault == "late":
            asyncio.get_running_loop().call_later(LATE_START_DELAY_S, effect)
            return NoAnswer("no answer")
        answer = await self._call(effect)
        return NoAnswer("no answer") if fault == "answer lost" else answer

    async def stop(self, call):
        return await self._call(
            lambda: self.machine.stop(
                call.epoch, call.attempt, call.checkpoint, self.clock()
            )
        )

    async def renew(self, call):
        return await self._call(
            lambda: self.machine.renew(
                call.epoch,
                call.attempts,
                call.lease_deadline_s,
                call.acknowledged,
                self.clock(),
            )
        )

    async def run(self, request):
        loop = asyncio.get_running_loop()
        ended = loop.create_future()
        timeout_s = request.deadline_s - loop.time()

        def begin():
            deadline_s = self.clock() + timeout_s
            run = RequestRun(request.key, request.service, request.needs, deadline_s)
            may_repeat = request.repeat == "idempotent"
            refused = self.machine.begin_request(
                request.epoch, run, self.clock(), may_repeat
            )
            if refused is None:
                loop.call_later(self.run_s(), end)
            return refused

        def end():
            self.machine.end_request(request.key)
            if not ended.done():
                ended.set_result(Answered(200, "text/plain", request.body))

        fault = self.network.run_faults.pop(0) if self.network.run_faults else ""
        match fault:
            case "not sent":
                return NotSent("refused by the network")
            case "refused":
                return Refused("full")
            case "fenced":
                return Fenced(self.machine.epoch, self.machine.decider)
            case "lost on the way":
                return NoAnswer("no answer")
        answer = await self._call(begin)
        if fault == "answer lost":
            return NoAnswer("no answer")
        if fault == "answer cut short":
            return AnswerCutShort("connection closed")
        if isinstance(answer, NotSent | NoAnswer | Refused | Fenced):
            return answer
        try:
            async with asyncio.timeout(max(0.0, request.deadline_s - loop.time())):
                value = await asyncio.shield(ended)
        except TimeoutError:
            return NoAnswer("timed out")
        answer = await self._call(lambda: value)
        if isinstance(answer, NotSent):
            # The request was sent, and only its answer is missing.
            return NoAnswer(answer.detail)
        return answer

    async def bar(self, key):
        answer = await self._call(
            lambda: self.machine.cancel_request(key, self.clock())
        )
        return answer is True

    def close(self):
        pass


class FakeLog:
    """A log port that calls the log's state machine."""

    def __init__(self, network, instance_id, machine):
        self.network = network
        self.instance_id = instance_id
        self.machine = machine

    async def append(self, stream, records):
        def effect():
            if self.machine.fault is LogFault.DOWN:
                return NoAnswer("down")
            offset = self.machine.append(stream, records)
            if self.machine.fault is LogFault.LOSES_ANSWERS:
                return NoAnswer("lost")
            return offset

        answer = await self.network.exchange(self.instance_id, "log", effect)
        if isinstance(answer, NotSent | NoAnswer):
            return Err(answer)
        return Ok(answer)

    async def read(self, stream, from_offset):
        def effect():
            if self.machine.fault is LogFault.DOWN:
                return NoAnswer("down")
            kept, entries = self.machine.read(stream, from_offset, 1000)
            pairs = tuple((entry.offset, entry.record) for entry in entries)
            return Page(pairs, kept.oldest_offset, kept.next_offset)

        answer = await self.network.exchange(self.instance_id, "log", effect)
        if isinstance(answer, Page):
            return Ok(answer)
        return Err("no answer")


class FakeList:
    """An instance list port without delay, as up to date as the list it reads."""

    def __init__(self, instance_list):
        self.instance_list = instance_list
        self.version = 0

    async def workers(self, data_centre):
        if self.version == self.instance_list.version:
            return Ok(None)
        self.version = self.instance_list.version
        workers = self.instance_list.workers.values()
        return Ok([w for w in workers if w.data_centre == data_centre])
