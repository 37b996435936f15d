"""Import the platform adapter, and build the configurations and heartbeats that it decodes."""

import json
import sys
from pathlib import Path

from egretworks.types import Endpoint

ADAPTER = Path(__file__).parent.parent / "platform"
# Last on the path, as when the daemon runs.
sys.path.append(str(ADAPTER))

COLUMNS = (
    "name",
    "host",
    "pathPrefix",
    "kind",
    "timeoutMs",
    "targetLatencyMs",
    "priority",
    "service",
    "maxAttempts",
    "trafficSplit",
)


def edge():
    """Return the adapter's `PlatformEdge`."""
    from edgewire import PlatformEdge

    return PlatformEdge()


def platform_store():
    """Return the adapter's `PlatformStore`, whose address leads nowhere."""
    from objectstore import PlatformStore

    return PlatformStore(Endpoint("127.0.0.1", 1))


def config_document(version, routes=None, services=("ledger", "portal")):
    """Return a configuration document in the platform's format."""
    rows = routes or [
        ["give", "pool.example", "/give/", "non_idempotent", 1200, 300, 0, "ledger", 2, None],
        ["view", "pool.example", "/view/", "idempotent", 1000, 500, 2, "portal", 2, None],
    ]
    return json.dumps(
        {
            "version": f"{version:08x}",
            "routes": {"columns": COLUMNS, "rows": rows},
            "services": {
                "columns": ["name", "healthPath", "maxConnections", "protocol", "tls"],
                "rows": [[name, "/health", 130, "h1", False] for name in services],
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
    ).encode()


def team_document(version, teams):
    """Return a configuration with `teams`: rows of name, keys, priority, rate and burst.

    Requests for /give/ need a key, and those for /view/ don't.
    """
    config = json.loads(config_document(version))
    routes = config["routes"]
    routes["columns"] = [*routes["columns"], "allowAnonymous"]
    routes["rows"] = [[*row, row[0] == "view"] for row in routes["rows"]]
    columns = ["name", "apiKeys", "priority", "ratePerS", "burst"]
    config["tenants"] = {"columns": columns, "rows": teams}
    return json.dumps(config).encode()


def heartbeat_body(
    address, service="ledger", state="ready", sequence=1, born=1_000, slots=12, version="v1"
):
    """Return the body of a target's heartbeat in the platform's format."""
    return json.dumps(
        {
            "address": address,
            "born": born,
            "info": {
                "service": service,
                "version": version,
                "zone": "dc",
                "maxConcurrency": slots,
            },
            "status": {"phase": state, "sequence": sequence, "coldLeftMs": 0},
        }
    ).encode()
