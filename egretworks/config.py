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
    """Base every table of a settings file on one strict structure."""


class InstanceSettings(Section):
    """Name the instance, its data centre and its addresses."""

    id: Annotated[Name, Meta(description="Name of this instance, unique in the mesh.")]
    data_centre: Annotated[Name, Meta(description="Data centre that the instance stands in.")]
    host: Annotated[str, Meta(description="IP number that the others reach this instance by.")]
    call_port: Annotated[Port, Meta(description="TCP port for calls.")]
    operator_port: Annotated[
        Port, Meta(description="TCP port for operators and for the target's announcements.")
    ]
    peer_port: Annotated[Port, Meta(description="UDP and TCP port for the other daemons.")]


class PlatformSettings(Section):
    """Say where the platform's object API is."""

    address: Annotated[Address, Meta(description="IP number and port of the object API.")]
    timeout_ms: Annotated[
        PositiveMs, Meta(description="Longest wait for one answer, in milliseconds.")
    ] = 2_000
    watch_ms: Annotated[
        PositiveMs, Meta(description="Longest wait of one watch, in milliseconds.")
    ] = 20_000


class PeerSettings(Section):
    """Say which daemons to join by."""

    seeds: Annotated[
        tuple[Address, ...],
        Meta(description="IP numbers and peer ports of some other daemons, to join by."),
    ] = ()
    repair_ms: Annotated[
        PositiveMs,
        Meta(description="Mean time between two comparisons of member tables, in milliseconds."),
    ] = 10_000


class CallSettings(Section):
    """Bound the calls that the daemon carries."""

    max_connections: Annotated[
        int, Meta(ge=1, le=10_000, description="Most connections of callers at a time.")
    ] = 1_000
    max_body_bytes: Annotated[
        int, Meta(ge=1, le=64_000_000, description="Largest body of a request or answer, in bytes.")
    ] = 4_000_000
    max_depth: Annotated[
        int, Meta(ge=1, le=64, description="Most hops that a call may be passed on over.")
    ] = 11
    receive_ms: Annotated[
        PositiveMs,
        Meta(description="Longest wait for the rest of a request begun, in milliseconds."),
    ] = 5_000
    idle_ms: Annotated[
        PositiveMs, Meta(description="Longest idle time of a connection, in milliseconds.")
    ] = 30_000
    connect_ms: Annotated[
        PositiveMs, Meta(description="Longest wait for a connection to a target, in milliseconds.")
    ] = 250
    drain_ms: Annotated[
        PositiveMs,
        Meta(description="Longest wait at a planned stop for calls to end, in milliseconds."),
    ] = 15_000


class TargetSettings(Section):
    """Say how the target beside this daemon is watched."""

    lapse_ms: Annotated[
        PositiveMs,
        Meta(description="Time without an announcement until a target counts as gone, in ms."),
    ] = 3_000


class LogSettings(Section):
    """Say how much is logged."""

    level: Annotated[
        str,
        Meta(
            pattern="^(debug|info|warning|error)$",
            description="Lowest level logged: debug, info, warning or error.",
        ),
    ] = "info"


class Settings(Section):
    """Hold every setting of a daemon."""

    instance: InstanceSettings
    platform: PlatformSettings
    peers: PeerSettings = PeerSettings()
    calls: CallSettings = CallSettings()
    target: TargetSettings = TargetSettings()
    log: LogSettings = LogSettings()


class ClientSettings(Section):
    """Hold every setting of the command-line client."""

    platform: PlatformSettings
    daemons: Annotated[
        tuple[Address, ...],
        Meta(description="IP numbers and operator ports of some daemons, to find the fleet by."),
    ] = ()
    operator: Annotated[
        str, Meta(max_length=64, description="Name that tickets are filed under.")
    ] = ""


class SidecarSection(Section):
    """Name the instance beside whose target the daemon runs."""

    id: Annotated[Name, Meta(description="Name of this instance, unique in the mesh.")]
    data_centre: Annotated[Name, Meta(description="Data centre that the instance stands in.")]
    host: Annotated[str, Meta(description="IP number that the others reach this instance by.")]
    service: Annotated[str, Meta(description="Service of the target beside the daemon.")] = ""


class ListenSettings(Section):
    """Say where the daemon listens."""

    calls: Annotated[Address, Meta(description="IP number and port for callers.")]
    ready: Annotated[Address, Meta(description="IP number and port for readiness checks.")]
    announcements: Annotated[
        Address, Meta(description="IP number and port for the target's heartbeats.")
    ]
    link_port: Annotated[Port, Meta(description="TCP port for the other daemons.")]
    metrics_port: Annotated[Port, Meta(description="TCP port for metrics.")]


class BoundSettings(Section):
    """Set the bounds that the deployment's contract asks for."""

    drain_ms: Annotated[
        PositiveMs,
        Meta(description="Longest time that an acknowledged leaving target gets requests, in ms."),
    ]
    memory_mb: Annotated[
        float, Meta(gt=0, description="Memory that the platform allows the process, in MB.")
    ]
    grace_ms: Annotated[
        PositiveMs, Meta(description="Time from SIGTERM until the platform kills, in ms.")
    ]
    retry_ratio: Annotated[
        float, Meta(ge=0, description="Further attempts of the whole mesh per request.")
    ]
    retry_window_ms: Annotated[
        PositiveMs, Meta(description="Time over which further attempts are counted, in ms.")
    ]
    retry_slack: Annotated[
        float, Meta(ge=0, description="Further attempts of the whole mesh besides the ratio.")
    ]


class SidecarSettings(Section):
    """Hold every setting of a daemon that stands beside a target on the users' platform."""

    instance: SidecarSection
    listen: ListenSettings
    platform: PlatformSettings
    bounds: BoundSettings
    log: LogSettings = LogSettings()


AnySettings = TypeVar("AnySettings", Settings, ClientSettings, SidecarSettings)


def read_settings(path: Path) -> Settings:
    """Return the daemon's settings in the TOML file `path`, or raise `SettingsError`."""
    settings = _read(path, Settings)
    try:
        check_settings(settings)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error.message}", next_step=error.next_step) from error
    return settings


def read_sidecar_settings(path: Path) -> SidecarSettings:
    """Return the sidecar's settings in the TOML file `path`, or raise `SettingsError`."""
    return _read(path, SidecarSettings)


def read_client_settings(path: Path) -> ClientSettings:
    """Return the client's settings in the TOML file `path`, or raise `SettingsError`."""
    return _read(path, ClientSettings)


def check_settings(settings: Settings) -> None:
    """Raise `SettingsError` unless the values fit each other."""
    instance = settings.instance
    try:
        ipaddress.ip_address(instance.host)
    except ValueError as error:
        raise SettingsError(f"instance.host: {error}") from error
    tcp_ports = {instance.call_port, instance.operator_port, instance.peer_port}
    if len(tcp_ports) < 3:
        raise SettingsError("instance: call_port, operator_port and peer_port must differ")


def _read(path: Path, kind: type[AnySettings]) -> AnySettings:
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(
            f"{path}: {error.strerror}", next_step="name a settings file that can be read"
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        return msgspec.convert(document, kind)
    except msgspec.ValidationError as error:
        raise SettingsError(
            f"{path}: {error}", next_step="docs/SETTINGS.md lists every key, its unit and default"
        ) from error
