"""
Read and validate the settings of one entry instance.

All errors in the JSON file are reported, each with its location; an unknown key is an
error. Values that are not set default to those in ``hornbeampaddle.defaults``.
"""

import json
from dataclasses import fields
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Any

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    SecretStr,
    ValidationError,
    field_validator,
    model_validator,
)
from result import Err, Ok, Result

from hornbeampaddle.defaults import Limits, Timing
from hornbeampaddle.machines import Address

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]+$", max_length=64)]
Port = Annotated[int, Field(ge=0, le=65535)]
SECRET_CHARACTERS_MIN = 16


class StrictModel(BaseModel):
    """An immutable model that rejects unknown keys and doesn't convert types."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class AddressSettings(StrictModel):
    """An IP address and a port."""

    host: str
    port: Port

    @field_validator("host")
    @classmethod
    def _is_ip_number(cls, host: str) -> str:
        try:
            ip_address(host)
        except ValueError:
            raise ValueError("must be an IP address, not a host name") from None
        return host

    def address(self) -> Address:
        """Return the address as the library represents it."""
        return Address(self.host, self.port)


class PeerSettings(AddressSettings):
    """Another entry instance of the same data centre."""

    instance_id: Name


class ListenSettings(StrictModel):
    """The three listeners of an entry instance."""

    callers: AddressSettings
    operators: AddressSettings
    peers: AddressSettings


class PlatformSettings(StrictModel):
    """The addresses of the platform's services."""

    log: AddressSettings
    instances: AddressSettings


class TelemetrySettings(StrictModel):
    """
    Destinations of metrics, traces and logs.

    Without ``statsd`` no metrics are sent, and with an empty ``traces_file`` no
    traces are written. With an empty ``log_file`` logs go to standard error.
    """

    statsd: AddressSettings | None = None
    traces_file: str = ""
    traced_ratio: Annotated[float, Field(ge=0, le=1)] = 1.0
    log_file: str = ""
    log_level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"


class TimingSettings(StrictModel):
    """Overrides of ``hornbeampaddle.defaults.Timing``."""

    heartbeat_interval_s: float | None = Field(None, gt=0)
    suspect_after_s: float | None = Field(None, gt=0)
    lease_s: float | None = Field(None, gt=0)
    renew_interval_s: float | None = Field(None, gt=0)
    authority_s: float | None = Field(None, gt=0)
    grant_s: float | None = Field(None, gt=0)
    log_poll_interval_s: float | None = Field(None, gt=0)
    list_poll_interval_s: float | None = Field(None, gt=0)
    commit_interval_s: float | None = Field(None, gt=0)
    call_timeout_s: float | None = Field(None, gt=0)
    drain_timeout_s: float | None = Field(None, gt=0)
    clock_rate_error_ratio: float | None = Field(None, ge=0, lt=0.5)

    def timing(self) -> Timing:
        """Return the defaults with these overrides."""
        return Timing(**self.model_dump(exclude_none=True))

    @model_validator(mode="after")
    def _intervals_agree(self) -> "TimingSettings":
        timing = self.timing()
        if timing.suspect_after_s < 2 * timing.heartbeat_interval_s:
            raise ValueError(
                "suspect_after_s must be twice heartbeat_interval_s or more"
            )
        if timing.lease_s < 2 * timing.renew_interval_s + timing.call_timeout_s:
            raise ValueError(
                "lease_s must cover two renew_interval_s and one call_timeout_s"
            )
        if timing.authority_s < 2 * timing.log_poll_interval_s:
            raise ValueError("authority_s must be twice log_poll_interval_s or more")
        return self


class LimitSettings(StrictModel):
    """Overrides of ``hornbeampaddle.defaults.Limits``."""

    header_bytes: int | None = Field(None, ge=1024)
    body_bytes: int | None = Field(None, ge=1)
    head_timeout_s: float | None = Field(None, gt=0)
    body_timeout_s: float | None = Field(None, gt=0)
    idle_timeout_s: float | None = Field(None, gt=0)
    send_timeout_s: float | None = Field(None, gt=0)
    caller_connections: int | None = Field(None, ge=1)
    memory_mb: int | None = Field(None, ge=96)
    max_fds: int | None = Field(None, ge=400)
    queued_requests: int | None = Field(None, ge=1)
    request_deadline_max_s: float | None = Field(None, gt=0)
    keys_per_call: int | None = Field(None, ge=1)
    keys_remembered: int | None = Field(None, ge=1)
    job_tasks: int | None = Field(None, ge=1)
    kept_tasks: int | None = Field(None, ge=1)
    connections_per_worker: int | None = Field(None, ge=1)
    unsent_log_records: int | None = Field(None, ge=1)
    config_snapshot_records: int | None = Field(None, ge=1)
    task_failures_max: int | None = Field(None, ge=1)
    task_losses_max: int | None = Field(None, ge=2)

    def limits(self) -> Limits:
        """Return the defaults with these overrides."""
        return Limits(**self.model_dump(exclude_none=True))


class Settings(StrictModel):
    """All settings of one entry instance."""

    instance_id: Name
    data_centre: Name
    listen: ListenSettings
    platform: PlatformSettings
    peers: tuple[PeerSettings, ...] = ()
    peer_key: SecretStr
    operator_token: SecretStr
    telemetry: TelemetrySettings = TelemetrySettings()
    timing: TimingSettings = TimingSettings()  # type: ignore[call-arg]
    limits: LimitSettings = LimitSettings()  # type: ignore[call-arg]

    @field_validator("peer_key", "operator_token")
    @classmethod
    def _is_long(cls, secret: SecretStr) -> SecretStr:
        if len(secret.get_secret_value()) < SECRET_CHARACTERS_MIN:
            raise ValueError(f"must have {SECRET_CHARACTERS_MIN} characters or more")
        return secret

    @model_validator(mode="after")
    def _peers_are_others(self) -> "Settings":
        names = [peer.instance_id for peer in self.peers]
        if self.instance_id in names:
            raise ValueError("peers must not name this instance")
        if len(set(names)) != len(names):
            raise ValueError("peers must not name an instance twice")
        return self


def parse_settings(text: str) -> Result[Settings, list[str]]:
    """Validate settings in JSON, or return all errors, each with its location."""
    try:
        json.loads(text, parse_constant=_reject_constant)
        return Ok(Settings.model_validate_json(text))
    except ValidationError as error:
        return Err([_error_line(fault) for fault in error.errors()])
    except (ValueError, RecursionError) as error:
        return Err([f"(file): {error}"])


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a valid JSON number")


def _error_line(fault: Any) -> str:
    place = ".".join(str(part) for part in fault["loc"]) or "(file)"
    return f"{place}: {fault['msg']}"


def read_settings(path: Path) -> Result[Settings, list[str]]:
    """Read and validate a settings file."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err([f"(file): cannot read {path}: {error}"])
    return parse_settings(text)


def effective_settings(settings: Settings) -> dict[str, Any]:
    """Return the settings with defaults applied and secrets masked."""
    shown = settings.model_dump(mode="json")
    timing, limits = settings.timing.timing(), settings.limits.limits()
    shown["timing"] = {f.name: getattr(timing, f.name) for f in fields(timing)}
    shown["limits"] = {f.name: getattr(limits, f.name) for f in fields(limits)}
    return shown
