"""Define the mesh configuration, check it, match requests to routes and split their traffic."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from egretworks.exceptions import ConfigInvalid
from egretworks.teams import MeshTeam, check_teams
from egretworks.types import Repeat, RouteName, ServiceName, Version

# The fractional part of the golden ratio: its multiples modulo 1 form a low-discrepancy sequence,
# which is evenly distributed over [0, 1).
GOLDEN_RATIO_FRACTION = 0.6180339887498949


class Share(msgspec.Struct, frozen=True):
    """Assign a service its weight in the traffic split of a route."""

    service: ServiceName
    weight: float


class MeshRoute(msgspec.Struct, frozen=True):
    """Send the requests for `host` whose paths begin with `prefix` to the services of `split`."""

    name: RouteName
    host: str
    prefix: str
    repeat: Repeat
    timeout_ms: float
    # Latency objective: a response within this time earns its full credit.
    objective_ms: float
    # 0 is the highest priority.
    priority: int
    # Maximum number of targets that one request may be sent to.
    max_attempts: int
    split: tuple[Share, ...]
    # Whether requests need no key of a team, where the configuration defines teams.
    anonymous: bool = False


class MeshService(msgspec.Struct, frozen=True):
    """Describe a service that receives requests through routes."""

    name: ServiceName
    health_path: str
    max_connections: int


class CallerLimits(msgspec.Struct, frozen=True):
    """Limit the size of a caller's requests and how long the caller may take to send them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    # Time to receive a complete request, its body included.
    header_timeout_ms: int = 3_000
    # Time that a connection may stay open between requests.
    idle_timeout_ms: int = 15_000


class MeshConfig(msgspec.Struct, frozen=True):
    """Hold one complete version of the mesh configuration."""

    version: Version
    routes: tuple[MeshRoute, ...]
    services_by_name: dict[ServiceName, MeshService]
    limits: CallerLimits = CallerLimits()
    # None if the configuration defines no teams, so that no request needs a key.
    teams: tuple[MeshTeam, ...] | None = None


def check_config(config: MeshConfig, valid: MeshConfig | None = None) -> None:
    """Raise `ConfigInvalid` if a route or team is invalid, or two have the same match or key.

    Routes that `config` shares with `valid`, a configuration that was checked before, are not
    checked again if the services are the same.
    """
    seen = set()
    checked = _identities_of_checked_routes(config, valid)
    for route in config.routes:
        if id(route) not in checked:
            _check_route(route, config)
        key = (route.host, route.prefix)
        if key in seen:
            raise ConfigInvalid(
                f"route {route.name}: another route has host {route.host!r}"
                f" and prefix {route.prefix!r}"
            )
        seen.add(key)
    check_teams(config.teams or ())


def _identities_of_checked_routes(config: MeshConfig, valid: MeshConfig | None) -> set[int]:
    if valid is None or valid.services_by_name.keys() != config.services_by_name.keys():
        return set()
    return {id(route) for route in valid.routes}


def _check_route(route: MeshRoute, config: MeshConfig) -> None:
    if not route.host:
        raise ConfigInvalid(f"route {route.name} has no host")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise ConfigInvalid(
            f"route {route.name}: prefix {route.prefix!r} must begin and end with a slash"
        )
    if route.timeout_ms <= 0 or route.max_attempts < 1:
        raise ConfigInvalid(
            f"route {route.name}: timeout {route.timeout_ms} ms must be positive"
            f" and maximum attempts {route.max_attempts} at least 1"
        )
    if not route.split:
        raise ConfigInvalid(f"route {route.name} has no service")
    for share in route.split:
        if share.service not in config.services_by_name:
            raise ConfigInvalid(f"route {route.name}: service {share.service!r} is not defined")
        if share.weight < 0:
            raise ConfigInvalid(
                f"route {route.name}: weight {share.weight} of service {share.service!r}"
                " is negative"
            )
    if sum(share.weight for share in route.split) <= 0:
        raise ConfigInvalid(f"route {route.name}: the sum of the weights must be positive")


class RouteIndex:
    """Find routes by host and longest path prefix."""

    def __init__(self, routes: tuple[MeshRoute, ...]) -> None:
        self._routes_by_host_and_prefix = {(route.host, route.prefix): route for route in routes}

    def find(self, host: str, path: str) -> MeshRoute | None:
        """Return the route for a request, or None.

        `host` may include a port and `path` a query; both are ignored.
        """
        host = host.partition(":")[0].lower()
        for prefix in _prefixes(path.partition("?")[0]):
            route = self._routes_by_host_and_prefix.get((host, prefix))
            if route is not None:
                return route
        return None


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of `path` that end with a slash, the longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)


class Splitter:
    """Distribute each route's requests over its services in proportion to their weights.

    A low-discrepancy sequence for each route, which begins at `start`, keeps even a short run of
    requests close to the weights.
    """

    def __init__(self, start: float) -> None:
        self._start = start
        self._point_by_route: dict[RouteName, float] = {}

    def choose(self, route: MeshRoute) -> ServiceName:
        """Return the service for the next request on `route`."""
        if len(route.split) == 1:
            return route.split[0].service
        point = (self._point_by_route.get(route.name, self._start) + GOLDEN_RATIO_FRACTION) % 1.0
        self._point_by_route[route.name] = point
        remaining = point * sum(share.weight for share in route.split)
        for share in route.split:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        # Reached only through rounding errors.
        return route.split[-1].service
