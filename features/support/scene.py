"""Build and control a data centre of real entry instances on a fake platform."""

import asyncio
import itertools
import json
import random
import sys
import traceback
from dataclasses import replace

import msgspec
import structlog

from hornbeampaddle.intents import AddService
from hornbeampaddle.machines import Address, Standing, Worker
from hornbeampaddle.records import JobSpec, Needs
from hornbeampaddle.resources import Resources
from hornbeampaddle_entry.instance import Instance, Ports
from hornbeampaddle_entry.settings import Settings
from hornbeampaddle_standins.instances import InstanceList
from hornbeampaddle_standins.ledger import Ledger
from hornbeampaddle_standins.log import LogMachine
from hornbeampaddle_standins.worker import WorkerMachine
from hornbeampaddle_wire.http_messages import Request

from .network import CALL_TIMEOUT_S, FakeList, FakeLog, FakePeers, FakeWorker, Network
from .virtual_loop import VirtualLoop

TOKEN = "operators-of-the-scene"
HOME = "brno"
GIB = 1024**3
RATE_ERROR = 0.01
STEP_S = 0.02
TIMING = {
    "heartbeat_interval_s": 0.2,
    "suspect_after_s": 0.8,
    "lease_s": 4.0,
    "renew_interval_s": 0.5,
    "authority_s": 1.0,
    "call_timeout_s": CALL_TIMEOUT_S,
    "grant_s": 1.0,
    "log_poll_interval_s": 0.1,
    "list_poll_interval_s": 0.3,
    "commit_interval_s": 0.02,
    "clock_rate_error_ratio": RATE_ERROR,
}

LOGGED_ERRORS = []


def _collect_errors(logger, method, event):
    """Collect what an instance logs as an error: each means a broken invariant."""
    if method in ("error", "exception", "critical"):
        info = sys.exc_info()[1]
        text = "".join(traceback.format_exception(info)) if info else ""
        LOGGED_ERRORS.append(f"{event['event']} {text}")
    raise structlog.DropEvent


structlog.configure(processors=[_collect_errors])


class Scene:
    """One data centre in virtual time; ``run`` runs a coroutine to its end."""

    def __init__(
        self, instances=3, workers=4, seed=1, run_s=0.05, cores=8, timing=None
    ):
        LOGGED_ERRORS.clear()
        self.loop = VirtualLoop()
        self.rng = random.Random(seed)
        self.limits = {}
        self.timing = TIMING if timing is None else timing
        self.network = Network(self.rng)
        self.log = LogMachine()
        self.instance_list = InstanceList()
        self.ledger = Ledger()
        self.run_s = run_s
        self.incarnation_numbers = itertools.count(1)
        self.instances = {}
        self.machines = {}
        self.clocks = {}
        checkpoints = {}
        for number in range(workers):
            self._add_worker(number, cores, checkpoints)
        self.names = [f"e{number}" for number in range(instances)]
        self.outcomes = {}

    def _add_worker(self, number, cores, checkpoints):
        capacity = Resources(cores * 1000, 32 * GIB, 0)
        name = f"w{number}"
        address = Address("127.0.0.1", 9000 + number)
        worker = Worker(name, address, HOME, f"r{number // 2}", capacity)
        # The workers accept any amount of work, and the ledger records overruns: no
        # guarantee may depend on a worker's own refusal of what does not fit.
        machine = WorkerMachine(
            worker, self.ledger, enforces_capacity=False, checkpoints=checkpoints
        )
        rate = 1 + self.rng.uniform(-RATE_ERROR, RATE_ERROR) / 2
        offset_s = self.rng.uniform(0, 100_000)
        self.machines[name] = machine
        self.clocks[name] = lambda: self.loop.time() * rate + offset_s
        self.instance_list.put(worker)

    # Virtual time

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def pass_s(self, seconds_s):
        """Let virtual time pass."""
        self.run(asyncio.sleep(seconds_s))

    async def _until(self, condition, within_s):
        end_s = self.loop.time() + within_s
        while self.loop.time() < end_s:
            if condition():
                return True
            await asyncio.sleep(STEP_S)
        return bool(condition())

    def until(self, condition, within_s=30.0):
        """Let time pass until a condition holds; return whether it does."""
        return self.run(self._until(condition, within_s))

    def close(self):
        for name in list(self.instances):
            self.kill(name)
        self.run(self._end_calls())
        self.loop.close()

    async def _end_calls(self):
        """Cancel the calls that are still waiting for an answer."""
        current = asyncio.current_task()
        calls = [t for t in asyncio.all_tasks() if t is not current]
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    # Instances

    def _settings(self, name):
        listen = {"host": "127.0.0.1", "port": 0}
        peers = [
            {"instance_id": other, "host": "127.0.0.1", "port": 1}
            for other in self.names
            if other != name
        ]
        raw = {
            "instance_id": name,
            "data_centre": HOME,
            "listen": {"callers": listen, "operators": listen, "peers": listen},
            "platform": {"log": listen, "instances": listen},
            "peers": peers,
            "peer_key": "peers-of-the-scene",
            "operator_token": TOKEN,
            "timing": self.timing,
            "limits": self.limits,
        }
        return Settings.model_validate_json(json.dumps(raw))

    def start(self, name):
        """Start an instance as a new incarnation."""
        incarnation = f"{name}~{next(self.incarnation_numbers)}"
        network = self.network

        def worker_port(worker):
            machine_name = worker.worker_id
            machine, clock = self.machines[machine_name], self.clocks[machine_name]
            return FakeWorker(network, name, machine, clock, lambda: self.run_s)

        ports = Ports(
            log=FakeLog(network, name, self.log),
            instances=FakeList(self.instance_list),
            worker=worker_port,
            peers=lambda life, receiver: FakePeers(network, name, HOME, life, receiver),
        )

        async def start_instance():
            instance = Instance(
                self._settings(name), ports, self.rng.random(), incarnation
            )
            self._block_while_paused(instance, name)
            instance.start_tasks()
            return instance

        self.instances[name] = self.run(start_instance())
        return self.instances[name]

    def _block_while_paused(self, instance, name):
        """Block the control task while the process is paused."""
        mailbox = instance.control.mailbox
        get = mailbox.get

        async def get_when_running():
            mail = await get()
            await self.network.gate(name)
            return mail

        mailbox.get = get_when_running

    def start_all(self):
        for name in self.names:
            self.start(name)
        assert self.until(lambda: self.held() >= len(self.machines)), "no deciders"

    def held(self):
        """Return how many workers have a live decider with their current epoch."""
        current = set()
        for instance in self.instances.values():
            for decider in instance.control.fleet.held():
                machine = self.machines[decider.worker.worker_id]
                if decider.epoch == machine.epoch:
                    current.add(decider.worker.worker_id)
        return len(current)

    def kill(self, name):
        """Kill an instance's process."""
        self.resume(name)
        instance = self.instances.pop(name)
        self.run(instance.stop())

    def pause(self, name):
        self.network.gates.setdefault(name, asyncio.Event())

    def resume(self, name):
        gate = self.network.gates.pop(name, None)
        if gate is not None:
            gate.set()

    def control(self, name):
        return self.instances[name].control

    # Callers and operators

    def call(self, name, request):
        return self.run(self.instances[name].caller_api.handle(request))

    def call_later(self, name, request, label):
        """Send a request without waiting; its response goes to ``outcomes``."""
        instance = self.instances[name]

        async def send():
            self.outcomes[label] = await instance.caller_api.handle(request)

        task = self.loop.create_task(send())
        task.add_done_callback(lambda t: t.cancelled() or t.exception())

    def keys(self, name, count=1, valid_s=10.0):
        body = json.dumps({"count": count, "valid_s": valid_s}).encode()
        response = self.call(name, Request("POST", "/v1/keys", {}, body))
        return json.loads(response.body)["keys"]

    def request(self, service, key="", body=b"card", timeout_s=5.0, urgency="urgent"):
        headers = {"request-timeout-s": str(timeout_s), "request-urgency": urgency}
        if key:
            headers["request-key"] = key
        return Request("POST", f"/v1/requests/{service}", headers, body)

    def submit(self, name, job_id, tasks=4, run_s=1.0, cpu_millis=1000, **more):
        spec = JobSpec(
            job_id=job_id,
            team=more.pop("team", "archive"),
            kind="batch",
            tasks=tasks,
            needs=Needs(cpu_millis, GIB, 0),
            run_s=run_s,
            **more,
        )
        body = msgspec.json.encode(spec)
        return self.call(name, Request("POST", "/v1/jobs", {}, body))

    def operator_request(self, path, value):
        headers = {"authorization": f"Bearer {TOKEN}"}
        return Request("POST", path, headers, msgspec.json.encode(value))

    def operator_post(self, name, path, value):
        request = self.operator_request(path, value)
        response = self.run(self.instances[name].operator_api.handle(request))
        return response.status, json.loads(response.body)

    def operator_get(self, name, path):
        headers = {"authorization": f"Bearer {TOKEN}"}
        request = Request("GET", path, headers)
        response = self.run(self.instances[name].operator_api.handle(request))
        return json.loads(response.body)

    def plan(self, name, intent):
        status, plan = self.operator_post(name, "/v1/plans", intent)
        assert status == 200, plan
        return plan

    def confirm(self, name, plan):
        return self.operator_post(name, "/v1/confirmations", plan)

    def add_service(self, service="checks", repeat="exclusive", slots=4, name="e0"):
        intent = AddService(
            service=service,
            repeat=repeat,
            needs=Needs(500, GIB, 0),
            team="dispatch",
            slots_per_worker=slots,
        )
        status, verdict = self.confirm(name, self.plan(name, intent))
        assert status == 200, verdict
        name = f"service:{service}"
        assert self.until(lambda: self.config_change_applied(name))

    def config_change_applied(self, name):
        """Return whether every instance has applied a change to a configured object."""
        contexts = [instance.context for instance in self.instances.values()]
        return all(c.configuration.version(name) >= 0 for c in contexts)

    # Checks

    def job_done(self, job_id, tasks):
        done = self.ledger.tasks_done
        return all(f"{job_id}/{i}" in done for i in range(tasks))

    def check_invariants(self):
        assert not LOGGED_ERRORS, LOGGED_ERRORS[0]
        assert not self.ledger.doubled, self.ledger.doubled[:5]
        assert not self.ledger.overruns, self.ledger.overruns[:5]

    def mark(self, worker_id, standing=Standing.LEAVING):
        self.instance_list.mark(worker_id, standing)

    def move_worker(self, worker_id, port):
        worker = self.instance_list.workers[worker_id]
        self.instance_list.put(replace(worker, address=Address("127.0.0.1", port)))
