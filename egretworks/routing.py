"""Find the route that a request matches."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from egretworks.resources import Route

ANY_HOST = ""


class RouteTable:
    """Index routes by host and path prefix.

    Among the routes that allow the method, the longest matching prefix wins. For equal prefixes a
    route for the host of the request is preferred to one for any host, then the first by name.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes_by_host_and_prefix: dict[tuple[str, str], list[Route]] = {}
        for route in sorted(routes, key=lambda route: route.name):
            key = (route.match.host, _normalise(route.match.path_prefix))
            self._routes_by_host_and_prefix.setdefault(key, []).append(route)

    def find(self, host: str, path: str, method: str) -> Route | None:
        """Return the route for a request, or None if no route matches."""
        for prefix in _prefixes(path):
            for wanted_host in (host, ANY_HOST):
                for route in self._routes_by_host_and_prefix.get((wanted_host, prefix), ()):
                    if not route.match.methods or method in route.match.methods:
                        return route
        return None


def _normalise(prefix: str) -> str:
    return prefix.rstrip("/") or "/"


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of `path` that end at a segment boundary, longest first."""
    path = _normalise(path.partition("?")[0])
    while path and path != "/":
        yield path
        path = path.rpartition("/")[0]
    yield "/"
