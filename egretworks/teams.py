"""Define the teams of callers, and find the team that a caller's key belongs to."""

from __future__ import annotations

import hmac
import os
from collections.abc import Iterable

import msgspec

from egretworks.exceptions import ConfigInvalid
from egretworks.types import TeamName

# HMAC secret of this process, so that neither a digest nor the duration of a look-up reveals
# anything about a caller's key.
_SECRET = os.urandom(32)

KeyDigest = bytes


def digest_key(key: str) -> KeyDigest:
    """Return the digest under which `key` is kept in memory."""
    return hmac.digest(_SECRET, key.encode(), "sha256")


class MeshTeam(msgspec.Struct, frozen=True):
    """Describe a team of callers: its keys, its priority and its quota over the whole mesh."""

    name: TeamName
    # Two while a key is rotated.
    key_digests: tuple[KeyDigest, ...]
    # 0 is the highest priority; it goes before the priority of a route.
    priority: int = 0
    # Requests a second; 0 for no limit.
    rate_per_s: float = 0.0
    # Requests that may come at once in addition.
    burst: float = 0.0

    @property
    def limited(self) -> bool:
        """Return whether the team has a quota."""
        return self.rate_per_s > 0

    @property
    def weight(self) -> float:
        """Return the team's weight in the fair share of a target's time."""
        return self.rate_per_s if self.limited else 1.0


# Stands for the callers of requests that carry no key, as on anonymous routes.
NO_TEAM = MeshTeam(TeamName(""), ())


def check_teams(teams: Iterable[MeshTeam]) -> None:
    """Raise `ConfigInvalid` if two teams have the same name or the same key."""
    names: set[TeamName] = set()
    owner_by_digest: dict[KeyDigest, TeamName] = {}
    for team in teams:
        if team.name in names:
            raise ConfigInvalid(f"team {team.name!r} is defined twice")
        names.add(team.name)
        for digest in team.key_digests:
            owner = owner_by_digest.setdefault(digest, team.name)
            if owner != team.name:
                raise ConfigInvalid(f"teams {owner!r} and {team.name!r} have the same key")


class TeamIndex:
    """Find teams by key and by name."""

    def __init__(self, teams: Iterable[MeshTeam]) -> None:
        self.teams_by_name = {team.name: team for team in teams}
        self._team_by_digest = {
            digest: team for team in self.teams_by_name.values() for digest in team.key_digests
        }

    def find(self, key: str) -> MeshTeam | None:
        """Return the team that holds `key`, or None."""
        if not key:
            return None
        # The time of a look-up tells nothing, as digests depend on a secret of the process.
        return self._team_by_digest.get(digest_key(key))
