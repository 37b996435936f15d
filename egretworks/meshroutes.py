"""Hold a whole configuration of the mesh and find the route that a request matches."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from egretworks.exceptions import ConfigInvalid
from egretworks.types import Repeat, RouteName, ServiceName, Version

# The fractional part of the golden ratio: multiples of it spread evenly over [0, 1).
GOLDEN_STEP = 0.6180339887498949


class Share(msgspec.Struct, frozen=True):
    """Give a service its part of a route's requests."""

    service: ServiceName
    weight: float


class MeshRoute(msgspec.Struct, frozen=True):
    """Send the requests for `host` whose paths begin with `prefix` to the services of `split`."""

    name: RouteName
    host: str
    prefix: str
    repeat: Repeat
    timeout_ms: float
    # An answer within this time earns its full credit.
    objective_ms: float
    # 0 is the most urgent.
    priority: int
    # How many targets one request may be sent to.
    max_attempts: int
    split: tuple[Share, ...]


class MeshService(msgspec.Struct, frozen=True):
    """Describe a service that routes lead to."""

    name: ServiceName
    health_path: str
    max_connections: int


class CallerLimits(msgspec.Struct, frozen=True):
    """Bound what a caller may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class MeshConfig(msgspec.Struct, frozen=True):
    """Hold one version of the mesh's configuration in full."""

    version: Version
    routes: tuple[MeshRoute, ...]
    services_by_name: dict[ServiceName, MeshService]
    limits: CallerLimits = CallerLimits()


def check_config(config: MeshConfig) -> None:
    """Raise `ConfigInvalid` where a part of `config` contradicts another."""
    places = set()
    for route in config.routes:
        _check_route(route, config)
        place = (route.host, route.prefix)
        if place in places:
            raise ConfigInvalid(f"route {route.name}: another one has its host and prefix")
        places.add(place)


def _check_route(route: MeshRoute, config: MeshConfig) -> None:
    if not route.host:
        raise ConfigInvalid(f"route {route.name} has no host")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise ConfigInvalid(f"route {route.name}: prefix {route.prefix!r} isn't between slashes")
    if route.timeout_ms <= 0 or route.max_attempts < 1:
        raise ConfigInvalid(f"route {route.name} allows no time or no attempt")
    if not route.split:
        raise ConfigInvalid(f"route {route.name} leads to no service")
    for share in route.split:
        if share.service not in config.services_by_name:
            raise ConfigInvalid(f"route {route.name}: service {share.service!r} isn't defined")
        if share.weight < 0:
            raise ConfigInvalid(f"route {route.name}: a weight is below zero")
    if sum(share.weight for share in route.split) <= 0:
        raise ConfigInvalid(f"route {route.name}: the weights add up to nothing")


class RouteIndex:
    """Find routes by host and by the longest prefix of the path."""

    def __init__(self, routes: tuple[MeshRoute, ...]) -> None:
        self._routes_by_place = {(route.host, route.prefix): route for route in routes}

    def find(self, host: str, path: str) -> MeshRoute | None:
        """Return the route for a request to `path`, which may have a query, or None."""
        host = host.partition(":")[0].lower()
        for prefix in _prefixes(path.partition("?")[0]):
            route = self._routes_by_place.get((host, prefix))
            if route is not None:
                return route
        return None


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of `path` that end with a slash, longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)


class Splitter:
    """Deal a route's requests out to its services, evenly in each stretch of requests."""

    def __init__(self, start: float) -> None:
        self._start = start
        self._point_by_route: dict[RouteName, float] = {}

    def choose(self, route: MeshRoute) -> ServiceName:
        """Return the service for the next request on `route`."""
        if len(route.split) == 1:
            return route.split[0].service
        point = (self._point_by_route.get(route.name, self._start) + GOLDEN_STEP) % 1.0
        self._point_by_route[route.name] = point
        left = point * sum(share.weight for share in route.split)
        for share in route.split:
            left -= share.weight
            if left < 0:
                return share.service
        return route.split[-1].service
