"""Serve operators over HTTP: plans, confirmations, state and events."""

import asyncio
import hmac
import re
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import msgspec

from hornbeampaddle.decoding import decode_json
from hornbeampaddle.intents import Intent
from hornbeampaddle.jobs import TaskState, job_id_of
from hornbeampaddle.plans import Plan
from hornbeampaddle.records import Needs
from hornbeampaddle.resources import Resources
from hornbeampaddle_wire.http_messages import Request, Response
from hornbeampaddle_wire.http_server import error_response

from .callers import JOBS_LISTED_MAX, list_jobs
from .control import Control
from .mail import ConfirmAnswer, ConfirmMail, Mail, PlanAnswer, PlanMail

CONFIRM_TIMEOUT_S = 10.0
BEARER = "Bearer "
EVENT_NUMBER = re.compile(r"[0-9]{1,18}")


def _needs(resources: Resources) -> Needs:
    return Needs(
        max(0, resources.cpu_millis),
        max(0, resources.memory_bytes),
        max(0, resources.accelerators),
    )


def _json(value: object, status: int = 200) -> Response:
    return Response(status, msgspec.json.encode(value))


class OperatorApi:
    """The HTTP API of one entry instance for operators."""

    def __init__(
        self,
        control: Control,
        post: Callable[[Mail], None],
        traffic: Callable[[], dict[str, int]],
    ) -> None:
        """Answer reads from the control task's state, and post all else to the task."""
        self.traffic = traffic
        self.control = control
        self.context = control.context
        self.post = post
        token = self.context.settings.operator_token.get_secret_value()
        self._expected_authorization = f"{BEARER}{token}".encode()

    async def handle(self, request: Request) -> Response:
        """Answer one HTTP request, if it carries the operators' token."""
        given = request.headers.get("authorization", "").encode()
        if not hmac.compare_digest(given, self._expected_authorization):
            detail = "set the operators' token, as in the instance's settings"
            return error_response(401, "unauthorized", detail)
        parts = urlsplit(request.path)
        path = parts.path.strip("/").removeprefix("v1/")
        match (request.method, path.split("/", 1)):
            case ("POST", ["plans"]):
                return await self._plan(request)
            case ("POST", ["confirmations"]):
                return await self._confirm(request)
            case ("GET", ["status"]):
                return _json(self._status())
            case ("GET", ["workers"]):
                return _json(self._workers())
            case ("GET", ["tasks"]):
                return _json(self._tasks())
            case ("GET", ["jobs"]):
                table = self.control.jobs.table
                return _json({"jobs": list_jobs(table, JOBS_LISTED_MAX)})
            case ("GET", ["explain", task_id]):
                return self._explain(task_id)
            case ("GET", ["config"]):
                return _json(self._config())
            case ("GET", ["events"]):
                return self._events(parts.query)
            case _:
                return error_response(404, "not_found", f"{request.method} /{path}")

    async def _plan(self, request: Request) -> Response:
        try:
            intent = decode_json(request.body, Intent)
        except ValueError as error:
            return error_response(400, "bad_request", str(error))
        done: asyncio.Future[PlanAnswer] = asyncio.get_running_loop().create_future()
        self.post(PlanMail(intent, done))
        answer = await done
        if answer.plan is None:
            return error_response(422, "bad_intent", answer.error)
        return _json(answer.plan)

    async def _confirm(self, request: Request) -> Response:
        try:
            plan = decode_json(request.body, Plan)
        except ValueError as error:
            return error_response(400, "bad_request", str(error))
        done: asyncio.Future[ConfirmAnswer] = asyncio.get_running_loop().create_future()
        operator = request.headers.get("operator-name", "operator")
        self.post(ConfirmMail(plan, operator, done))
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                answer = await asyncio.shield(done)
        except TimeoutError:
            answer = self.control.planner.on_timeout(plan.plan_id)
        status = 200 if answer.applied else 409
        if answer.reason == "log_unavailable":
            status = 503
        elif answer.reason == "unknown":
            status = 502
        return _json(answer, status)

    def _status(self) -> dict[str, object]:
        context, control = self.context, self.control
        now_s = context.now_s()
        members = [
            {
                "instance_id": member.instance_id,
                "incarnation": member.incarnation,
                "live": context.membership.is_live(member.instance_id, now_s),
                "leaving": member.leaving,
                "config_offset": member.config_offset,
                "log_reachable": member.log_reachable,
            }
            for member in context.membership.members.values()
        ]
        services = [
            {
                "service": name,
                "repeat": service.repeat,
                "workers": len(service.placement),
                "free_slots": control.slots.free_of(name),
                "waiting": len(service_load.queue)
                if (service_load := control.dispatcher.service_load.get(name))
                else 0,
                "in_flight": service_load.in_flight if service_load else 0,
            }
            for name, service in context.configuration.services.items()
        ]
        return {
            "instance_id": context.settings.instance_id,
            "incarnation": context.incarnation,
            "data_centre": context.settings.data_centre,
            "leaving": context.leaving,
            "config_offset": context.configuration.offset,
            "log_reachable": control.home_link.reachable,
            "authority_left_s": control.jobs.authority_until_s() - now_s,
            "workers_held": len(control.fleet.held()),
            "workers_listed": len(context.workers),
            "evacuated": ", ".join(sorted(context.configuration.evacuations)),
            "jobs": len(control.jobs.table.jobs),
            "jobs_over": len(control.jobs.table.finished),
            "evictions": control.jobs.owner.evictions,
            "traffic": self.traffic(),
            "appends": control.home_link.appends + control.config_link.appends,
            "outcomes": dict(sorted(control.dispatcher.outcome_counts.items())),
            "peers": members,
            "services": services,
        }

    def _workers(self) -> dict[str, object]:
        now_s = self.context.now_s()
        sick = set(self.control.jobs.capacity_view.sick(now_s))
        evacuations = self.context.configuration.evacuations
        rows = []
        for worker in self.context.workers.values():
            decider = self.control.fleet.deciders.get(worker.worker_id)
            room = self.control.jobs.capacity_view.capacities.get(worker.worker_id)
            held = decider is not None and decider.holding
            rows.append(
                {
                    "worker_id": worker.worker_id,
                    "rack": worker.rack,
                    "standing": worker.standing.value,
                    "draining": self.context.configuration.is_draining(worker),
                    "evacuated": worker.data_centre in evacuations,
                    "decider": room.decider if room else "",
                    "epoch": decider.epoch if decider and held else 0,
                    "attempts": len(decider.allocation_table.allocations)
                    if decider and held
                    else None,
                    "free": _needs(room.free) if room else None,
                    "sick": worker.worker_id in sick,
                }
            )
        return {"workers": rows}

    def _tasks(self) -> dict[str, object]:
        now_s = self.context.now_s()
        rows = []
        for decider in self.control.fleet.held():
            for allocation in decider.inventory():
                rows.append(
                    {
                        "attempt": str(allocation.order.attempt),
                        "worker_id": decider.worker.worker_id,
                        "state": allocation.state.value,
                        "owner": allocation.order.owner,
                        "work_done_s": round(allocation.work_done_s(now_s), 1),
                    }
                )
        return {"tasks": rows}

    def _explain(self, task_id: str) -> Response:
        table = self.control.jobs.table
        found = table.find(task_id)
        if found is None:
            job = table.jobs.get(job_id_of(task_id))
            if table.is_finished(task_id):
                return _json({"task_id": task_id, "why": "its whole job is over"})
            if job is None:
                return error_response(404, "unknown_task", f"no task {task_id}")
            detail = f"ask its owner, {job.owner}, which alone starts its attempts"
            if task_id in job.ended:
                detail = f"it is over: {job.ended[task_id].value}"
            return _json({"task_id": task_id, "why": detail, "owner": job.owner})
        job, task = found
        why = {
            TaskState.PENDING: self._why_pending(),
            TaskState.PLACED: f"start asked of {task.worker_id}, no answer yet",
            TaskState.RUNNING: f"runs on {task.worker_id}",
            TaskState.DOUBT: f"{task.worker_id} is silent; waits for its lease to end",
            TaskState.INHERITED: "taken over; waits for the old owner's leases to end",
            TaskState.ENDING: "over; the result is being recorded",
            TaskState.ENDED: f"over: {task.end.value if task.end else ''}",
        }[task.state]
        body = {
            "task_id": task_id,
            "state": task.state.value,
            "why": why,
            "worker_id": task.worker_id,
            "attempt": str(task.attempt()),
            "failures": len(task.failed),
            "losses": len(task.lost),
            "failed_on": sorted(task.failed_on),
            "owner": job.owner,
        }
        return _json(body)

    def _why_pending(self) -> str:
        evacuations = self.context.configuration.evacuations
        home = self.context.settings.data_centre
        if home in evacuations:
            return f"waits until the data centre {home} is no longer evacuated"
        return "waits for room, its team's quota or a retry's delay"

    def _config(self) -> dict[str, object]:
        configuration = self.context.configuration
        peers = self.context.membership.members.values()
        history = self.control.planner.history
        return {
            "offset": configuration.offset,
            "peers": {peer.instance_id: peer.config_offset for peer in peers},
            "services": list(configuration.services.values()),
            "drains": list(configuration.drains.values()),
            "evacuations": list(configuration.evacuations.values()),
            "quotas": list(configuration.quotas.values()),
            "history": [{"record_id": r, **_verdict(a)} for r, a in history.items()],
        }

    def _events(self, query: str) -> Response:
        text = parse_qs(query).get("from", ["0"])[0]
        if not EVENT_NUMBER.fullmatch(text):
            return error_response(400, "bad_request", "from must be a number")
        events = self.context.events
        body = {"events": events.since(int(text)), "next": events.next_number}
        return _json(body)


def _verdict(answer: ConfirmAnswer) -> dict[str, object]:
    return {
        "offset": answer.offset,
        "applied": answer.applied,
        "reason": answer.reason,
    }
