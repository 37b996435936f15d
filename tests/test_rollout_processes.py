"""Test a rollout through daemons as processes, with the stand-in platform's store."""

import json
import threading
import time

import pytest
from platformwire import config_document
from processes import ask, ask_json, wait_for
from sidecars import announce_all

BOUNDS = "rollout = true\ncanary_share = 0.1\ncanary_slack = 50.0"
DURATION_S = 12
RATE_PER_S = 40


class Load:
    """Send requests at a fixed rate from threads, until it is stopped."""

    def __init__(self, sidecars):
        self.sidecars, self.statuses, self.stopped = sidecars, [], False
        self.threads = [threading.Thread(target=self._send, args=(n,)) for n in range(8)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()

    def _send(self, number):
        next_at = time.monotonic() + number / RATE_PER_S
        while not self.stopped:
            time.sleep(max(0.0, next_at - time.monotonic()))
            next_at += len(self.threads) / RATE_PER_S
            sidecar = self.sidecars[len(self.statuses) % len(self.sidecars)]
            id = f"{number}-{next_at}"
            self.statuses.append(sidecar.call("/give/x", method="POST", id=id)[0])


def order(mesh):
    spec = {"service": "ledger", "targetVersion": "v2", "durationS": DURATION_S}
    body = json.dumps({"metadata": {"name": "ledger"}, "spec": spec})
    assert ask(mesh.platform.port, "POST", "/objects/rollouts", body)[0] == 200
    return time.monotonic()


def phase(mesh):
    status = ask_json(mesh.platform.port, "/objects/rollouts/ledger")["status"]
    return status and status["phase"]


# Guards against parts of a rollout that work alone and are not connected: orders that the daemons
# never see, gates that count nothing, a status that the store refuses.
@pytest.mark.parametrize("good", (True, False))
def test_an_order_is_followed_to_its_end(sidecars, good):
    sidecars.platform.configure(config_document(1))
    old = [sidecars.add("ledger", bounds=BOUNDS) for _ in range(2)]
    new = [sidecars.add("ledger", bounds=BOUNDS, version="v2") for _ in range(2)]
    for sidecar in new:
        # Targets of the first version have been running for a minute.
        sidecar.target.born += 60_000
    announce_all([*old, *new])
    load = Load([*old, *new])
    try:
        time.sleep(1)
        assert sum(len(sidecar.target.runs) for sidecar in new) == 0
        if not good:
            for sidecar in new:
                target = sidecar.target
                target.answer = lambda id, body, target=target: target.response(
                    id, body, status="500 Failed"
                )
        ordered_at, before = order(sidecars), len(load.statuses)
        expected = "completed" if good else "rolled_back"
        wait_for(lambda: phase(sidecars) == expected, f"the phase {expected}", DURATION_S)
        took_s = time.monotonic() - ordered_at
        old_runs = sum(len(sidecar.target.runs) for sidecar in old)
        new_runs = sum(len(sidecar.target.runs) for sidecar in new)
        time.sleep(1)
    finally:
        load.stop()
    if good:
        assert took_s <= DURATION_S
        assert sum(len(sidecar.target.runs) for sidecar in old) == old_runs
        assert set(load.statuses) == {200}
    else:
        assert 0 < new_runs <= 0.1 * (len(load.statuses) - before) + 50
        assert sum(len(sidecar.target.runs) for sidecar in new) == new_runs
