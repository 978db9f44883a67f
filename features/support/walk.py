"""Run random sequences of faults and load on real instances in virtual time."""

import asyncio
import random

import msgspec

from hornbeampaddle.records import JobSpec, Needs
from hornbeampaddle_standins.log import LogFault
from hornbeampaddle_wire.http_messages import Request

from .scene import GIB, Scene

STEPS = 40
CALL_WAIT_S = 7.0
FINISH_S = 120.0
SERVICE = "checks"
ACTIONS = (
    ["job"] * 4
    + ["requests"] * 4
    + ["repeat"] * 2
    + ["kill", "start", "pause", "resume", "cut", "cut_log", "cut_worker", "heal"]
    + ["log_fault", "log_well"]
)


class Walk:
    """One random sequence of actions, determined by its seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.scene = Scene(instances=3, workers=5, seed=seed)
        self.accepted = []
        self.sent = []
        self.broken = ""

    def run(self):
        scene = self.scene
        scene.start_all()
        repeat = self.rng.choice(["exclusive", "at_most_once"])
        scene.add_service(SERVICE, repeat)
        self._draw_message_faults()
        for number in range(STEPS):
            getattr(self, self.rng.choice(ACTIONS))(number)
            scene.pass_s(self.rng.choice([0.1, 0.5, 1.0, 2.0]))
            scene.check_invariants()
        self._remove_faults()
        assert scene.until(self._all_done, FINISH_S), "accepted jobs did not finish"
        scene.check_invariants()
        self._check_outcomes()

    def _draw_message_faults(self):
        faults = self.scene.network.faults
        faults.late = self.rng.choice([0, 0.02, 0.1])
        faults.answer_lost = self.rng.choice([0, 0.02, 0.1])
        faults.repeated = self.rng.choice([0, 0.1])

    def _running_instances(self):
        gates = self.scene.network.gates
        return [name for name in self.scene.instances if name not in gates]

    # Actions

    def job(self, number):
        running = self._running_instances()
        if not running:
            return
        spec = JobSpec(
            job_id=f"j{number}",
            team="archive",
            kind="batch",
            tasks=self.rng.randint(1, 8),
            needs=Needs(1000, GIB, 0),
            run_s=self.rng.choice([0.2, 1.0, 5.0]),
            urgent=self.rng.random() < 0.3,
            costly_to_evict=self.rng.random() < 0.3,
        )
        request = Request("POST", "/v1/jobs", {}, msgspec.json.encode(spec))
        api = self.scene.instances[self.rng.choice(running)].caller_api
        task = self.scene.loop.create_task(api.handle(request))
        waiting = asyncio.wait({task}, timeout=CALL_WAIT_S)
        self.scene.run(waiting)
        if task.done() and task.result().status == 201:
            self.accepted.append(spec)

    def requests(self, number):
        for name in self._running_instances():
            key = self.scene.keys(name, valid_s=6)[0]
            label = len(self.sent)
            self.sent.append((key, f"body {label}".encode()))
            self._send(name, label, (label, "first"))

    def repeat(self, number):
        running = self._running_instances()
        if not running or not self.sent:
            return
        for turn in range(3):
            label = self.rng.randrange(len(self.sent))
            self._send(self.rng.choice(running), label, (label, number, turn))

    def _send(self, name, label, outcome_label):
        key, body = self.sent[label]
        request = self.scene.request(SERVICE, key=key, body=body, timeout_s=4)
        self.scene.call_later(name, request, outcome_label)

    def kill(self, number):
        if len(self.scene.instances) > 1:
            self.scene.kill(self.rng.choice(list(self.scene.instances)))

    def start(self, number):
        for name in self.scene.names:
            if name not in self.scene.instances:
                self.scene.start(name)
                return

    def pause(self, number):
        self.scene.pause(self.rng.choice(list(self.scene.instances)))

    def resume(self, number):
        for name in list(self.scene.network.gates):
            self.scene.resume(name)

    def cut(self, number):
        one, other = self.rng.sample(self.scene.names, 2)
        if self.rng.random() < 0.5:
            self.scene.network.cut_both(one, other)
        else:
            self.scene.network.cut.add((one, other))

    def cut_log(self, number):
        self.scene.network.cut_both(self.rng.choice(self.scene.names), "log")

    def cut_worker(self, number):
        worker = self.rng.choice(list(self.scene.machines))
        self.scene.network.cut_both(self.rng.choice(self.scene.names), worker)

    def heal(self, number):
        self.scene.network.heal()

    def log_fault(self, number):
        faults = [LogFault.DOWN, LogFault.LOSES_ANSWERS]
        self.scene.log.fault = self.rng.choice(faults)

    def log_well(self, number):
        self.scene.log.fault = LogFault.NONE

    # Final checks

    def _remove_faults(self):
        scene = self.scene
        scene.network.heal()
        faults = scene.network.faults
        faults.late = faults.answer_lost = faults.repeated = 0
        scene.log.fault = LogFault.NONE
        self.resume(0)
        while len(scene.instances) < len(scene.names):
            self.start(0)

    def _all_done(self):
        done = self.scene.job_done
        return all(done(spec.job_id, spec.tasks) for spec in self.accepted)

    def _check_outcomes(self):
        """Compare every answer with what the workers ran."""
        by_label = {}
        for label, response in self.scene.outcomes.items():
            by_label.setdefault(label[0], []).append(response)
        for label, responses in by_label.items():
            key, body = self.sent[label]
            outcomes = [r.headers.get("request-outcome") for r in responses]
            for outcome, response in zip(outcomes, responses, strict=True):
                assert outcome != "done" or response.body == body, "wrong answer"
            ran = key in self.scene.ledger.requests_begun
            only_not_run = all(outcome == "not_run" for outcome in outcomes)
            assert not (ran and only_not_run), f"ran, but was called not run: {key}"


def walk(seed):
    """Run one random walk, close its scene and return its ledger."""
    one = Walk(seed)
    try:
        one.run()
        return one.scene.ledger
    finally:
        one.scene.close()
