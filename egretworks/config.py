"""Read and check the settings of a daemon and of the command-line client."""

from __future__ import annotations

import ipaddress
import tomllib
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from egretworks.exceptions import SettingsError
from egretworks.types import Name

Port = Annotated[int, Meta(ge=1, le=65_535)]
PositiveMs = Annotated[int, Meta(ge=1, le=3_600_000)]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Serve as the base class of every table of a settings file; reject unknown keys."""


class InstanceSettings(Section):
    """Name the instance, its data centre and its addresses."""

    id: Annotated[Name, Meta(description="Name of this instance, unique in the mesh.")]
    data_centre: Annotated[Name, Meta(description="Data centre in which the instance runs.")]
    host: Annotated[str, Meta(description="IP address at which others reach this instance.")]
    call_port: Annotated[Port, Meta(description="TCP port for calls.")]
    operator_port: Annotated[
        Port, Meta(description="TCP port for operators and the target's announcements.")
    ]
    peer_port: Annotated[Port, Meta(description="UDP and TCP port for other daemons.")]


class PlatformSettings(Section):
    """Set how the platform's object API is reached."""

    address: Annotated[Address, Meta(description="IP address and port of the object API.")]
    timeout_ms: Annotated[
        PositiveMs, Meta(description="Maximum wait for one response, in milliseconds.")
    ] = 2_000
    watch_ms: Annotated[
        PositiveMs, Meta(description="Maximum wait of one watch request for changes, in ms.")
    ] = 20_000


class PeerSettings(Section):
    """Set how the daemon joins the mesh and compares its member table with others."""

    seeds: Annotated[
        tuple[Address, ...],
        Meta(description="IP addresses and peer ports of daemons through which to join the mesh."),
    ] = ()
    repair_ms: Annotated[
        PositiveMs,
        Meta(description="Mean interval between comparisons of member tables with a peer, in ms."),
    ] = 10_000


class CallSettings(Section):
    """Limit the calls and connections that the daemon serves, in size, number and time."""

    max_connections: Annotated[
        int, Meta(ge=1, le=10_000, description="Maximum number of open connections from callers.")
    ] = 1_000
    max_body_bytes: Annotated[
        int,
        Meta(
            ge=1, le=64_000_000, description="Maximum body size of a request or response, in bytes."
        ),
    ] = 4_000_000
    max_depth: Annotated[
        int, Meta(ge=1, le=64, description="Maximum number of hops over which a call is forwarded.")
    ] = 11
    receive_ms: Annotated[
        PositiveMs,
        Meta(
            description="Maximum time to receive a request after its first bytes, in milliseconds."
        ),
    ] = 5_000
    idle_ms: Annotated[
        PositiveMs,
        Meta(description="Maximum idle time of a connection from a caller, in milliseconds."),
    ] = 30_000
    connect_ms: Annotated[
        PositiveMs, Meta(description="Timeout for connecting to a target, in milliseconds.")
    ] = 250
    drain_ms: Annotated[
        PositiveMs,
        Meta(
            description="Maximum wait for calls in flight at a graceful shutdown, in milliseconds."
        ),
    ] = 15_000


class TargetSettings(Section):
    """Set when the target beside this daemon counts as gone."""

    lapse_ms: Annotated[
        PositiveMs,
        Meta(
            description="Time without an announcement after which a target counts as gone, in ms."
        ),
    ] = 3_000


class LogSettings(Section):
    """Set how much is logged."""

    level: Annotated[
        str,
        Meta(
            pattern="^(debug|info|warning|error)$",
            description="Lowest level that is logged: debug, info, warning or error.",
        ),
    ] = "info"


class Settings(Section):
    """Hold all settings of the daemon `egretd`."""

    instance: InstanceSettings
    platform: PlatformSettings
    peers: PeerSettings = PeerSettings()
    calls: CallSettings = CallSettings()
    target: TargetSettings = TargetSettings()
    log: LogSettings = LogSettings()


class ClientSettings(Section):
    """Hold all settings of the command-line client `egretctl`."""

    platform: PlatformSettings
    daemons: Annotated[
        tuple[Address, ...],
        Meta(
            description="IP addresses and operator ports of daemons that are asked about the fleet."
        ),
    ] = ()
    operator: Annotated[
        str, Meta(max_length=64, description="Operator's name, recorded in tickets that are filed.")
    ] = ""


class SidecarInstanceSettings(Section):
    """Name the instance, its data centre, its address and the service of its target."""

    id: Annotated[Name, Meta(description="Name of this instance, unique in the mesh.")]
    data_centre: Annotated[Name, Meta(description="Data centre in which the instance runs.")]
    host: Annotated[str, Meta(description="IP address at which others reach this instance.")]
    service: Annotated[str, Meta(description="Service of the target beside this daemon.")] = ""
    first_start: Annotated[
        bool,
        Meta(description="False if the daemon may have run before, and spent retry budget."),
    ] = True


class ListenSettings(Section):
    """Set the addresses and ports that the daemon listens on."""

    calls: Annotated[Address, Meta(description="IP address and port for callers.")]
    ready: Annotated[Address, Meta(description="IP address and port for readiness checks.")]
    announcements: Annotated[
        Address, Meta(description="IP address and port for the target's heartbeats.")
    ]
    link_port: Annotated[Port, Meta(description="TCP port for links from other daemons.")]
    metrics_port: Annotated[Port, Meta(description="TCP port for metrics.")]


class BoundSettings(Section):
    """Set the limits that the deployment's contract prescribes."""

    drain_ms: Annotated[
        PositiveMs,
        Meta(
            description="Maximum time that a leaving target gets requests after its "
            "announcement is acknowledged, in ms."
        ),
    ]
    memory_mb: Annotated[
        float, Meta(gt=0, description="Memory limit that the platform sets for the process, in MB.")
    ]
    grace_ms: Annotated[
        PositiveMs,
        Meta(description="Time from SIGTERM until the platform kills the process, in ms."),
    ]
    retry_ratio: Annotated[
        float, Meta(ge=0, description="Retry budget of the whole mesh, as retries per request.")
    ]
    retry_window_ms: Annotated[
        PositiveMs, Meta(description="Time window of the retry budget, in ms.")
    ]
    retry_slack: Annotated[
        float,
        Meta(
            ge=0,
            description="Retries of the whole mesh per window in addition to the ratio.",
        ),
    ]
    strict_revoke: Annotated[
        bool,
        Meta(description="Whether revoked keys must stop working at every daemon in `revoke_ms`."),
    ] = False
    revoke_ms: Annotated[
        PositiveMs, Meta(description="Time in which a revoked key must stop working, in ms.")
    ] = 5_000
    quota_window_ms: Annotated[
        PositiveMs, Meta(description="Time window of the teams' quotas, in ms.")
    ] = 5_000
    quota_overshoot: Annotated[
        float,
        Meta(ge=0, description="Share by which a team may exceed its quota within a window."),
    ] = 0.0
    quota_slack: Annotated[
        float,
        Meta(ge=0, description="Requests of a team per window in addition to its quota."),
    ] = 0.0
    rollout: Annotated[
        bool,
        Meta(description="Whether new versions are brought in by orders in the platform's store."),
    ] = False
    canary_share: Annotated[
        float,
        Meta(gt=0, le=1, description="Share of a service's requests for an unproved version."),
    ] = 0.1
    canary_slack: Annotated[
        float, Meta(ge=0, description="Requests for an unproved version beyond that share.")
    ] = 0.0
    rollback_ms: Annotated[
        PositiveMs,
        Meta(description="Time in which a bad version must get no more requests, in ms."),
    ] = 5_000
    link_mbps: Annotated[
        float,
        Meta(ge=0, description="Bandwidth of the instance's network line, in Mbit/s; 0 for none."),
    ] = 0.0


class SidecarSettings(Section):
    """Hold all settings of the daemon `meshd`, the sidecar of a target on the users' platform."""

    instance: SidecarInstanceSettings
    listen: ListenSettings
    platform: PlatformSettings
    bounds: BoundSettings
    log: LogSettings = LogSettings()


AnySettings = TypeVar("AnySettings", Settings, ClientSettings, SidecarSettings)


def read_settings(path: Path) -> Settings:
    """Return the settings of `egretd` in the TOML file `path`, or raise `SettingsError`."""
    settings = _read(path, Settings)
    try:
        check_settings(settings)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error.message}", next_step=error.next_step) from error
    return settings


def read_sidecar_settings(path: Path) -> SidecarSettings:
    """Return the settings of `meshd` in the TOML file `path`, or raise `SettingsError`."""
    return _read(path, SidecarSettings)


def read_client_settings(path: Path) -> ClientSettings:
    """Return the settings of `egretctl` in the TOML file `path`, or raise `SettingsError`."""
    return _read(path, ClientSettings)


def check_settings(settings: Settings) -> None:
    """Raise `SettingsError` if the host is not an IP address or two TCP ports are equal."""
    instance = settings.instance
    try:
        ipaddress.ip_address(instance.host)
    except ValueError as error:
        raise SettingsError(f"instance.host: {error}") from error
    tcp_ports = {instance.call_port, instance.operator_port, instance.peer_port}
    if len(tcp_ports) < 3:
        raise SettingsError(
            f"instance: call_port {instance.call_port}, operator_port {instance.operator_port} "
            f"and peer_port {instance.peer_port} must differ"
        )


def _read(path: Path, kind: type[AnySettings]) -> AnySettings:
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(
            f"{path}: {error.strerror}", next_step="give the path of a readable settings file"
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        return msgspec.convert(document, kind)
    except msgspec.ValidationError as error:
        raise SettingsError(
            f"{path}: {error}", next_step="docs/SETTINGS.md lists every key, its unit and default"
        ) from error
