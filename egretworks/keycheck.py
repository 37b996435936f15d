"""Decide whether a caller's key is accepted, and for which team it calls."""

from __future__ import annotations

from egretworks.configholder import ConfigHolder
from egretworks.exceptions import NotReady, UnknownKey
from egretworks.freshness import UNKNOWN_KEY_PROOF_MS, ConfigFreshness, RevocationBound
from egretworks.meshroutes import MeshRoute
from egretworks.teams import NO_TEAM, MeshTeam


class KeyCheck:
    """Check keys against the teams in force, as far as those are known to be recent enough."""

    def __init__(
        self, config: ConfigHolder, freshness: ConfigFreshness, bound: RevocationBound
    ) -> None:
        self._config = config
        self._freshness = freshness
        self._bound = bound

    def team_of(self, key: str, route: MeshRoute) -> MeshTeam:
        """Return the team that holds `key`, or `NO_TEAM` where none is needed or defined.

        Raises `UnknownKey`, or `NotReady` if this daemon can't tell whether the key is valid now.
        """
        teams = self._config.teams
        if teams is None:
            return NO_TEAM
        team = teams.find(key)
        if route.anonymous:
            # The target is told whose key it is, although the request needs none.
            return team or NO_TEAM
        if team is not None:
            if not self._bound.allows(self._freshness.age_ms()):
                raise NotReady("the keys that this daemon knows may have been revoked")
            return team
        if key and self._may_be_behind():
            raise NotReady("the key may have been added since the store was read")
        raise UnknownKey("no team holds the key")

    def _may_be_behind(self) -> bool:
        """Return whether a newer version than the one in force is known or may exist."""
        age_ms = self._freshness.age_ms()
        return self._config.is_behind or age_ms is None or age_ms > UNKNOWN_KEY_PROOF_MS
