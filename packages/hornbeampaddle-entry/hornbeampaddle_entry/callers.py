"""
Serve callers over HTTP: request keys, requests and jobs.

Every answer to a request has the header ``request-outcome``, which is one of done,
not_run and unknown. The last two carry a machine-readable reason.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Annotated, Any
from urllib.parse import urlsplit

import msgspec
from msgspec import Meta, Struct

from hornbeampaddle.decoding import decode_json
from hornbeampaddle.jobs import Job, JobTable
from hornbeampaddle.outcomes import Done, NotRun, Outcome, Reason, Unknown
from hornbeampaddle.queueing import Urgency
from hornbeampaddle.records import JobSpec
from hornbeampaddle_wire.http_messages import Request, Response
from hornbeampaddle_wire.http_server import error_response

from .context import Context
from .job_manager import JobManager
from .mail import CancelMail, JobAnswer, JobMail, KeysMail, Mail, RequestMail, Ticket
from .telemetry import Traces

DEFAULT_TIMEOUT_S = 10.0
JOB_TIMEOUT_S = 5.0
JOBS_LISTED_MAX = 1000

STATUS_OF_NOT_RUN = {
    Reason.UNKNOWN_SERVICE: 404,
    Reason.KEY_INVALID: 400,
    Reason.KEY_REUSED: 422,
    Reason.DEADLINE_PASSED: 504,
    Reason.QUOTA_EXCEEDED: 429,
}
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 502
STATUS_OF_REFUSAL = {
    "job_id_reused": 409,
    "unknown_job": 404,
    "already_over": 409,
    "unknown": 502,
    "log_unavailable": 503,
    "instance_stopping": 503,
    "no_room_for_jobs": 503,
}
# When a job for which there was no room may come back.
NO_ROOM_RETRY_AFTER_S = 2
STATUS_REFUSED = 422

Handler = Callable[[Request], Any]


class KeysBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A request for keys whose requests may be started for ``valid_s`` from now."""

    count: Annotated[int, Meta(ge=1)] = 1
    valid_s: Annotated[float, Meta(gt=0)] = DEFAULT_TIMEOUT_S


class CallerApi:
    """The HTTP API of one entry instance for callers."""

    def __init__(
        self,
        context: Context,
        post: Callable[[Mail], None],
        jobs: JobManager,
        traces: Traces,
    ) -> None:
        """Answer reads from the control task's state, and post all else to the task."""
        self.context = context
        self.post = post
        self.jobs = jobs
        self.traces = traces

    async def handle(self, request: Request) -> Response:
        """Answer one HTTP request."""
        path = urlsplit(request.path).path
        parts = path.strip("/").split("/", 2)
        match (request.method, parts):
            case ("POST", ["v1", "requests", service]):
                return await self._request(service, request)
            case ("POST", ["v1", "keys"]):
                return await self._keys(request)
            case ("POST", ["v1", "jobs"]):
                return await self._submit(request)
            case ("GET", ["v1", "jobs"]):
                return self._list_jobs()
            case ("GET", ["v1", "jobs", job_id]):
                return self._show_job(job_id)
            case ("DELETE", ["v1", "jobs", job_id]):
                return await self._cancel(job_id)
            case ("GET", ["v1", "health"]):
                return self._health()
            case _:
                return error_response(404, "not_found", f"{request.method} {path}")

    async def _request(self, service: str, request: Request) -> Response:
        timeout_s = self._timeout_s(request.headers.get("request-timeout-s"))
        if timeout_s is None:
            detail = "request-timeout-s must be a positive number of seconds"
            return error_response(400, "bad_request", detail)
        urgency_text = request.headers.get("request-urgency", Urgency.URGENT.value)
        if urgency_text not in {urgency.value for urgency in Urgency}:
            detail = "request-urgency must be urgent or batch"
            return error_response(400, "bad_request", detail)
        with self.traces.span(
            "caller.request", request.headers.get("traceparent", ""), server=True
        ) as span:
            if span is not None:
                span.set_attribute("service", service)
            done: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
            ticket = Ticket(
                service=service,
                urgency=Urgency(urgency_text),
                deadline_s=self.context.now_s() + timeout_s,
                content_type=request.headers.get(
                    "content-type", "application/octet-stream"
                ),
                body=request.body,
                key_text=request.headers.get("request-key", ""),
                traceparent=self.traces.traceparent(
                    request.headers.get("traceparent", "")
                ),
                done=done,
            )
            self.post(RequestMail(ticket))
            outcome = await self._outcome(ticket)
        return outcome_response(outcome, ticket.key_text)

    async def _outcome(self, ticket: Ticket) -> Outcome:
        """Wait for the outcome until shortly after the request's deadline."""
        margin_s = 2 * self.context.timing.heartbeat_interval_s
        margin_s += self.context.timing.call_timeout_s
        try:
            async with asyncio.timeout_at(ticket.deadline_s + margin_s):
                return await ticket.done
        except TimeoutError:
            return Unknown(Reason.IN_PROGRESS)

    def _timeout_s(self, text: str | None) -> float | None:
        if text is None:
            return DEFAULT_TIMEOUT_S
        try:
            timeout_s = float(text)
        except ValueError:
            return None
        if not math.isfinite(timeout_s) or timeout_s <= 0:
            return None
        return min(timeout_s, self.context.limits.request_deadline_max_s)

    async def _keys(self, request: Request) -> Response:
        try:
            keys_body = decode_json(request.body or b"{}", KeysBody)
        except ValueError as error:
            return error_response(400, "bad_request", str(error))
        limits = self.context.limits
        if keys_body.count > limits.keys_per_call:
            detail = f"count must be at most {limits.keys_per_call}"
            return error_response(400, "bad_request", detail)
        valid_s = min(keys_body.valid_s, limits.request_deadline_max_s)
        done: asyncio.Future[list[str]] = asyncio.get_running_loop().create_future()
        self.post(KeysMail(keys_body.count, self.context.now_s() + valid_s, done))
        keys = await done
        return Response(200, msgspec.json.encode({"keys": keys, "valid_s": valid_s}))

    async def _submit(self, request: Request) -> Response:
        try:
            spec = decode_json(request.body, JobSpec)
        except ValueError as error:
            return error_response(400, "bad_request", str(error))
        done: asyncio.Future[JobAnswer] = asyncio.get_running_loop().create_future()
        self.post(JobMail(spec, done))
        try:
            async with asyncio.timeout(JOB_TIMEOUT_S):
                answer = await asyncio.shield(done)
        except TimeoutError:
            answer = self.jobs.on_timeout(spec.job_id)
        return _job_answer(spec.job_id, answer, 201)

    async def _cancel(self, job_id: str) -> Response:
        done: asyncio.Future[JobAnswer] = asyncio.get_running_loop().create_future()
        self.post(CancelMail(job_id, done))
        try:
            async with asyncio.timeout(JOB_TIMEOUT_S):
                answer = await asyncio.shield(done)
        except TimeoutError:
            answer = JobAnswer(False, "unknown")
        return _job_answer(job_id, answer, 200)

    def _list_jobs(self) -> Response:
        listed = list_jobs(self.jobs.table, JOBS_LISTED_MAX)
        return Response(200, msgspec.json.encode({"jobs": listed}))

    def _show_job(self, job_id: str) -> Response:
        shown = show_job(self.jobs.table, job_id)
        if shown is None:
            data_centre = self.context.settings.data_centre
            detail = f"no job {job_id} in data centre {data_centre}"
            return error_response(404, "unknown_job", detail)
        return Response(200, msgspec.json.encode(shown))

    def _health(self) -> Response:
        ready = self.context.configuration.known and not self.context.leaving
        body = {"ready": ready, "config_offset": self.context.configuration.offset}
        return Response(200 if ready else 503, msgspec.json.encode(body))


def show_job(table: JobTable, job_id: str) -> dict[str, object] | None:
    """Return a job's summary for callers and operators, or None if unknown."""
    job = table.jobs.get(job_id)
    if job is not None:
        return _live_job_summary(job)
    finished = table.finished.get(job_id)
    if finished is not None:
        return _job_summary(finished.spec, finished.owner, finished.ends, "over")
    return None


def list_jobs(table: JobTable, jobs_max: int) -> list[dict[str, object]]:
    """Return summaries of live and newest finished jobs, up to ``jobs_max``."""
    live = [_live_job_summary(job) for job in table.jobs.values()]
    finished = [
        _job_summary(job.spec, job.owner, job.ends, "over")
        for job in list(table.finished.values())[-jobs_max:]
    ]
    return (live + finished)[:jobs_max]


def _live_job_summary(job: Job) -> dict[str, object]:
    ends: dict[str, int] = {}
    for end in job.ended.values():
        ends[end.value] = ends.get(end.value, 0) + 1
    state = "cancelling" if job.cancelled else "accepted"
    return _job_summary(job.spec, job.owner, ends, state)


def _job_summary(
    spec: JobSpec, owner: str, ends: dict[str, int], state: str
) -> dict[str, object]:
    return {
        "job_id": spec.job_id,
        "team": spec.team,
        "kind": spec.kind,
        "tasks": spec.tasks,
        "ended": ends,
        "state": state,
        "owner": owner,
    }


def _job_answer(job_id: str, answer: JobAnswer, status: int) -> Response:
    if answer.accepted:
        body = {"outcome": "done", "job_id": job_id, "owner": answer.owner}
        return Response(status, msgspec.json.encode(body))
    name = answer.reason.partition(":")[0]
    outcome = "unknown" if name == "unknown" else "not_run"
    body = {"outcome": outcome, "reason": answer.reason, "job_id": job_id}
    if outcome == "unknown":
        body["detail"] = "it may be accepted later; submit the same job again"
    code = STATUS_OF_REFUSAL.get(name, STATUS_REFUSED)
    headers = {}
    if name == "no_room_for_jobs":
        headers["retry-after"] = str(NO_ROOM_RETRY_AFTER_S)
    return Response(code, msgspec.json.encode(body), headers=headers)


def outcome_response(outcome: Outcome, key: str) -> Response:
    """Return the HTTP form of a request's outcome."""
    match outcome:
        case Done():
            headers = {"request-outcome": "done", "request-worker": outcome.worker_id}
            headers["request-key"] = key
            return Response(outcome.status, outcome.body, outcome.content_type, headers)
        case NotRun():
            status = STATUS_OF_NOT_RUN.get(outcome.reason, STATUS_NOT_RUN)
            return _refusal("not_run", status, outcome, key)
        case Unknown():
            return _refusal("unknown", STATUS_UNKNOWN, outcome, key)


def _refusal(name: str, status: int, outcome: NotRun | Unknown, key: str) -> Response:
    body: dict[str, object] = {"outcome": name, "reason": outcome.reason.value}
    headers = {"request-outcome": name}
    # An invalid key is arbitrary text from the caller and must not be echoed.
    if outcome.reason is not Reason.KEY_INVALID:
        headers["request-key"] = key
    if outcome.retry_after_s is not None:
        body["retry_after_s"] = outcome.retry_after_s
        headers["retry-after"] = str(math.ceil(outcome.retry_after_s))
    return Response(status, msgspec.json.encode(body), headers=headers)
