"""Steps that check the ports against the platform's contract."""

import asyncio
import random

from behave import given, then, when
from result import Err, Ok

from hornbeampaddle.calls import ClaimWorker, RenewLeases, StartAttempt, StopAttempt
from hornbeampaddle.contracts import (
    Ending,
    Fenced,
    NoAnswer,
    NotSent,
    Refused,
    RunState,
    Started,
    Stopped,
    TaskOrder,
    WorkerReport,
)
from hornbeampaddle.defaults import Limits, Timing
from hornbeampaddle.identity import AttemptId
from hornbeampaddle.machines import Address, Worker
from hornbeampaddle.resources import Resources
from hornbeampaddle_entry.adapters import HttpList, HttpLog, HttpWorker
from hornbeampaddle_entry.ports import Answered, WorkerRequest
from hornbeampaddle_standins.instances import InstanceList
from hornbeampaddle_standins.ledger import Ledger
from hornbeampaddle_standins.log import LogFault, LogMachine
from hornbeampaddle_standins.servers import PlatformServer, ServiceTimes, WorkerServer

CAPACITY = Resources(8000, 8000, 0)
LEASE_S = 60.0


class PortFixture:
    """A worker, the log service and the list of workers, with the ports to them."""

    async def __aenter__(self):
        worker = Worker("w0", Address("127.0.0.1", 0), "brno", "r0", CAPACITY)
        times = ServiceTimes(base_s=0.0, rng=random.Random(1))
        self.server = WorkerServer(worker, Ledger(), times, 5000.0)
        await self.server.start()
        self.listed = InstanceList()
        self.listed.put(self.server.worker)
        self.log_machine = LogMachine()
        self.platform = PlatformServer(self.log_machine, self.listed)
        await self.platform.start()
        timing, limits = Timing(), Limits()
        self.worker = HttpWorker(self.server.worker.address, timing, limits)
        self.log = HttpLog(self.platform.address, timing)
        self.list = HttpList(self.platform.address, timing)
        return self

    async def __aexit__(self, *_):
        await self.server.server.close()
        await self.platform.server.close()

    async def claim(self, name="e0"):
        return await self.worker.claim(ClaimWorker("w0"), name)

    def order(self, task="job/0", number=1, cpu_millis=1000, run_s=100.0):
        attempt = AttemptId(task, 1, number)
        needs = Resources(cpu_millis, 10, 0)
        return TaskOrder(attempt, "e0~1/0", "team", "kind", needs, run_s)

    async def start(self, epoch, order, lease_s=LEASE_S):
        deadline_s = self.server.now_s() + lease_s
        return await self.worker.start(StartAttempt("w0", epoch, order, deadline_s))

    async def renew(self, epoch, attempts=(), acknowledged=()):
        deadline_s = self.server.now_s() + LEASE_S
        call = RenewLeases("w0", epoch, attempts, deadline_s, acknowledged)
        return await self.worker.renew(call)

    async def stop(self, epoch, order, checkpoint=True):
        call = StopAttempt("w0", epoch, order.attempt, checkpoint)
        return await self.worker.stop(call)

    async def run(self, key, epoch, body=b"card"):
        deadline_s = asyncio.get_running_loop().time() + 5
        needs = Resources(10, 10, 0)
        return await self.worker.run(
            WorkerRequest(
                key, "s", epoch, needs, "exclusive", deadline_s, "text/plain", body
            )
        )


async def claim_raises(s):
    first = await s.claim()
    await s.start(first.epoch, s.order())
    second = await s.claim("e1")
    assert second.epoch > first.epoch and not second.delta
    assert [a.order for a in second.attempts] == [s.order()]


async def older_refused(s):
    first = await s.claim()
    second = await s.claim("e1")
    answers = [
        await s.start(first.epoch, s.order()),
        await s.renew(first.epoch),
        await s.stop(first.epoch, s.order()),
        await s.run("key", first.epoch),
    ]
    assert answers == [Fenced(second.epoch, "e1")] * 4, answers
    assert not s.server.machine.runs and not s.server.machine.ledger.requests_begun


async def start_repeats(s):
    epoch = (await s.claim()).epoch
    answers = [await s.start(epoch, s.order()) for _ in range(2)]
    assert all(isinstance(a, Started) for a in answers)
    assert s.server.machine.ledger.attempts_begun == 1


async def late_start(s):
    epoch = (await s.claim()).epoch
    answer = await s.start(epoch, s.order(), lease_s=-0.001)
    assert isinstance(answer, Refused) and not s.server.machine.runs


async def lease_lapses(s):
    epoch = (await s.claim()).epoch
    await s.start(epoch, s.order())
    s.server.clock_offset_s += LEASE_S + 1
    report = await s.renew(epoch, (s.order().attempt,))
    assert [a.ending for a in report.attempts] == [Ending.LAPSED]


async def end_listed(s):
    epoch = (await s.claim()).epoch
    attempt = s.order().attempt
    await s.start(epoch, s.order(run_s=1.0))
    s.server.clock_offset_s += 2
    for _ in range(2):
        report = await s.renew(epoch, (attempt,))
        assert [a.state for a in report.attempts] == [RunState.ENDED]
        assert report.attempts[0].ending is Ending.DONE
    report = await s.renew(epoch, (), (attempt,))
    assert report.attempts == ()


async def renewal_leaves_out(s):
    epoch = (await s.claim()).epoch
    await s.start(epoch, s.order())
    named = await s.renew(epoch, (s.order().attempt,))
    unnamed = await s.renew(epoch)
    assert named.delta and named.attempts == () and named.absent == ()
    assert [a.order for a in unnamed.attempts] == [s.order()]


async def renewal_absent(s):
    epoch = (await s.claim()).epoch
    report = await s.renew(epoch, (s.order().attempt,))
    assert report.absent == (s.order().attempt,)


async def stop_resumes(s):
    epoch = (await s.claim()).epoch
    await s.start(epoch, s.order(run_s=10.0))
    s.server.clock_offset_s += 8
    stopped = await s.stop(epoch, s.order())
    assert isinstance(stopped, Stopped) and stopped.ending is Ending.EVICTED
    again = s.order(number=2, run_s=10.0)
    await s.start(epoch, again)
    s.server.clock_offset_s += 3
    report = await s.renew(epoch, (), (s.order().attempt,))
    assert [a.ending for a in report.attempts] == [Ending.DONE], report


async def too_large_refused(s):
    epoch = (await s.claim()).epoch
    await s.start(epoch, s.order(cpu_millis=6000))
    answer = await s.start(epoch, s.order("job/1", cpu_millis=3000))
    assert isinstance(answer, Refused)


async def request_runs(s):
    epoch = (await s.claim()).epoch
    answer = await s.run("key", epoch)
    assert isinstance(answer, Answered) and b'"key":"key"' in answer.body
    assert s.server.machine.ledger.requests_begun == {"key": 1}


async def barred_key_refused(s):
    epoch = (await s.claim()).epoch
    assert await s.worker.bar("key") is True
    assert isinstance(await s.run("key", epoch), Refused)
    assert not s.server.machine.ledger.requests_begun


async def bar_after_run(s):
    epoch = (await s.claim()).epoch
    await s.run("key", epoch)
    assert await s.worker.bar("key") is False


async def worker_gone(s):
    # A pooled connection that the worker closed may look open; a new one cannot.
    await s.server.server.close()
    s.worker = HttpWorker(s.server.worker.address, Timing(), Limits())
    assert isinstance(await s.claim(), NotSent)
    assert isinstance(await s.run("key", 1), NotSent)


async def read_after_append(s):
    assert await s.log.append("a", (b"one", b"two")) == Ok(0)
    match await s.log.read("a", 1):
        case Ok(page):
            assert page.entries == ((1, b"two"),)
            assert (page.oldest_offset, page.next_offset) == (0, 2)


async def lost_answer_ambiguous(s):
    s.log_machine.fault = LogFault.LOSES_ANSWERS
    match await s.log.append("a", (b"one",)):
        case Err(error):
            assert isinstance(error, NoAnswer)
    assert s.log_machine.streams["a"].next_offset == 1


async def log_down(s):
    s.log_machine.fault = LogFault.DOWN
    assert isinstance(await s.log.read("a", 0), Err)
    assert isinstance(await s.log.append("a", (b"one",)), Err)


async def unchanged_list(s):
    assert await s.list.workers("brno") == Ok([s.server.worker])
    assert await s.list.workers("brno") == Ok(None)
    s.listed.remove("w0")
    assert await s.list.workers("brno") == Ok([])


PROMISES = {
    "a claim raises the epoch and lists all": claim_raises,
    "an older epoch is refused without effect": older_refused,
    "a repeated start changes nothing": start_repeats,
    "a start past its lease deadline is refused": late_start,
    "a lapsed lease ends the attempt": lease_lapses,
    "an end is listed until acknowledged": end_listed,
    "a renewal leaves out what goes on": renewal_leaves_out,
    "a renewal names what is absent": renewal_absent,
    "a stop gives a checkpoint that resumes": stop_resumes,
    "what does not fit is refused": too_large_refused,
    "a request runs once and is answered whole": request_runs,
    "a barred key never runs": barred_key_refused,
    "a key that ran is not called never run": bar_after_run,
    "a worker that is gone was certainly not sent": worker_gone,
    "a read shows all appends before it": read_after_append,
    "an append whose answer is lost is ambiguous": lost_answer_ambiguous,
    "a log that is down says so": log_down,
    "an unchanged instance list is not sent again": unchanged_list,
}


async def _check(promise):
    async with PortFixture() as fixture:
        claimed = await fixture.claim()
        assert isinstance(claimed, WorkerReport)
        await PROMISES[promise](fixture)


@given("the ports to stand-ins")
def ports(context):
    context.problem = "not tried"


@when('the ports are checked for "{promise}"')
def check_promise(context, promise):
    try:
        asyncio.run(_check(promise))
        context.problem = None
    except AssertionError as error:
        context.problem = error


@then("the contract holds")
def holds(context):
    assert context.problem is None, context.problem
