"""Demonstrate urgent requests, batch jobs, failures and a drain together."""

import asyncio
import json
import random
import sys
from pathlib import Path
from typing import Any

import msgspec
import structlog

from hornbeampaddle.intents import AddService, Drain, Intent
from hornbeampaddle.records import JobSpec, Needs
from hornbeampaddle_entry.settings import TelemetrySettings
from hornbeampaddle_entry.telemetry import set_up_logs
from hornbeampaddle_standins.servers import ServiceTimes
from hornbeampaddle_wire.http_messages import Response

from .client import Client, decode_response
from .load import SimulatedCallers
from .tables import table
from .testbed import GIB, OPERATOR_TOKEN, DataCentrePlan, Testbed, slot_needs

SERVICE = "checks"
REQUESTS_PER_S = 60.0
LOAD_DURATION_S = 14.0
ARCHIVE_JOBS = 4
NOISY_JOBS = 4
JOBS_TIMEOUT_S = 12.0


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


class _Demo:
    """One run of the demonstration."""

    def __init__(self, seed: int, out: Path | None) -> None:
        self.random = random.Random(seed)
        self.seed = seed
        times = ServiceTimes(rng=random.Random(seed + 1))
        plans = [DataCentrePlan("brno", 4, 2), DataCentrePlan("olomouc", 4, 1)]
        self.testbed = Testbed(plans, times, out)
        self.callers: dict[str, SimulatedCallers] = {}
        self.jobs: dict[str, JobSpec] = {}

    async def run(self) -> None:
        await self.testbed.start()
        _print_progress("Started 8 workers in 2 data centres and 3 entry instances.")
        await asyncio.sleep(1.0)
        for name in ("brno", "olomouc"):
            await self._add_service(name)
        loads = [asyncio.create_task(self._run_load(n)) for n in ("brno", "olomouc")]
        await self._submit("archive", ARCHIVE_JOBS, tasks=20, run_s=1.5)
        await asyncio.sleep(2.0)
        _print_progress("A noisy batch wave arrives.")
        await self._submit("noise", NOISY_JOBS, tasks=30, run_s=0.8)
        await asyncio.sleep(1.5)
        await self._drain_rack()
        await asyncio.sleep(2.0)
        _print_progress("Killing entry instance brno-e0.")
        await self.testbed.kill_instance("brno-e0")
        self._update_balancer()
        await asyncio.sleep(2.0)
        _print_progress("Killing worker brno-w0.")
        await self.testbed.kill_worker("brno-w0")
        self.testbed.instance_list.remove("brno-w0")
        await asyncio.gather(*loads)
        for callers in self.callers.values():
            await callers.finish()
        await self._wait_for_jobs()
        await self.testbed.stop()

    async def _call_operator_api(self, instance_id: str, path: str, value: Any) -> Any:
        address = self.testbed.addresses[instance_id].operators
        client = Client(address, OPERATOR_TOKEN)
        return decode_response(
            await client.call("POST", path, msgspec.json.encode(value))
        )

    async def _plan_and_confirm(self, instance_id: str, intent: Intent) -> Any:
        plan = await self._call_operator_api(instance_id, "/v1/plans", intent)
        verdict = await self._call_operator_api(instance_id, "/v1/confirmations", plan)
        _print_progress(
            f"Plan {plan['plan_id']} is in force at offset {verdict['offset']}."
        )
        return plan

    async def _add_service(self, data_centre: str) -> None:
        # Each data centre plans only for its own workers, so each gets its own service.
        intent = AddService(
            service=f"{SERVICE}-{data_centre}",
            repeat="exclusive",
            needs=slot_needs(),
            team="dispatch",
            data_centres=(data_centre,),
        )
        await self._plan_and_confirm(f"{data_centre}-e0", intent)

    def _update_balancer(self) -> None:
        for name, callers in self.callers.items():
            callers.set_backends(
                {
                    instance_id: addresses.callers
                    for instance_id, addresses in self.testbed.addresses.items()
                    if instance_id.startswith(name)
                }
            )

    async def _run_load(self, data_centre: str) -> None:
        callers = SimulatedCallers(f"{SERVICE}-{data_centre}", self.seed)
        self.callers[data_centre] = callers
        self._update_balancer()
        await asyncio.sleep(0.5)
        await callers.run(REQUESTS_PER_S, LOAD_DURATION_S)

    async def _submit(self, name: str, jobs: int, tasks: int, run_s: float) -> None:
        for number in range(jobs):
            instance_id = self.random.choice(sorted(self.testbed.addresses))
            spec = JobSpec(
                job_id=f"{name}-{number}",
                team="archive",
                kind=name,
                tasks=tasks,
                needs=Needs(4000, 8 * GIB, 0),
                run_s=run_s,
            )
            client = Client(self.testbed.addresses[instance_id].callers)
            response = await client.call("POST", "/v1/jobs", msgspec.json.encode(spec))
            if isinstance(response, Response) and response.status == 201:
                self.jobs[spec.job_id] = spec
        _print_progress(f"Submitted {jobs} {name} jobs of {tasks} tasks each.")

    async def _drain_rack(self) -> None:
        _print_progress("An operator drains rack brno-r1.")
        plan = await self._plan_and_confirm("brno-e1", Drain("rack", "brno-r1"))
        stops = sum(1 for effect in plan["effects"] if effect["verb"] == "stop")
        _print_progress(
            f"The plan said: {stops} attempts evicted; {'; '.join(plan['risks'])}."
        )

    def jobs_done(self) -> int:
        done = self.testbed.ledger.tasks_done
        return sum(
            all(f"{job_id}/{i}" in done for i in range(spec.tasks))
            for job_id, spec in self.jobs.items()
        )

    async def _wait_for_jobs(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + JOBS_TIMEOUT_S
        while loop.time() < end_s and self.jobs_done() < len(self.jobs):
            await asyncio.sleep(0.2)

    def result(self) -> dict[str, float]:
        """Return the final counts of the callers and the ledger."""
        tallies = [callers.tally for callers in self.callers.values()]
        merged = tallies[0].latency_us
        for tally in tallies[1:]:
            merged.add(tally.latency_us)
        return {
            "requests_sent": sum(t.sent for t in tallies),
            "requests_answered": sum(t.answered for t in tallies),
            "requests_refused": sum(t.refused for t in tallies),
            "requests_unknown": sum(t.unknown for t in tallies),
            "requests_lost": sum(t.lost for t in tallies),
            "wrong_answers": sum(t.wrong_answers for t in tallies),
            "executions_doubled": len(self.testbed.ledger.doubled),
            "workers_over_capacity": len(self.testbed.ledger.overruns),
            "jobs_submitted": len(self.jobs),
            "jobs_completed": self.jobs_done(),
            "evictions": self.testbed.ledger.attempts_stopped,
            "p50_ms": tallies[0].percentile_ms(50),
            "p99_ms": tallies[0].percentile_ms(99),
        }


async def run_demo(seed: int, out: Path | None, as_json: bool) -> bool:
    """Run the demonstration; return whether every guarantee held."""
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        log_file = str(out / "instances.log.jsonl")
        set_up_logs(TelemetrySettings(log_file=log_file))
    else:
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    demo = _Demo(seed, out)
    await demo.run()
    result = demo.result()
    _print_progress("")
    _print_progress(table(("what", "count"), result.items()))
    for callers in demo.callers.values():
        if callers.tally.reasons:
            _print_progress(f"Not answered, by reason: {callers.tally.reasons}")
    if as_json:
        print(json.dumps(result))
    broken = ("requests_lost", "wrong_answers", "executions_doubled")
    guarantees_held = all(
        result[name] == 0 for name in (*broken, "workers_over_capacity")
    )
    return guarantees_held and result["jobs_completed"] == result["jobs_submitted"]
