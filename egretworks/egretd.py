"""Start the daemon `egretd`."""

from __future__ import annotations

import warnings

# The users ask for eventlet; its notice of deprecation is no news to an operator.
warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

# The hub has to be chosen before anything is patched: grpclib needs asyncio's.
from eventlet import hubs  # noqa: E402

hubs.use_hub("eventlet.hubs.asyncio")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import signal  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

import defopt  # noqa: E402

from egretworks import logs  # noqa: E402
from egretworks.config import read_settings  # noqa: E402
from egretworks.daemon import make_daemon  # noqa: E402
from egretworks.exceptions import EgretError  # noqa: E402


def serve(settings: Path, *, check_settings: bool = False) -> None:
    """Run a daemon beside a target.

    :param settings: TOML file with the daemon's settings
    :param check_settings: only check the file, and say what is wrong with it
    """
    checked = read_settings(settings)
    if check_settings:
        print(f"{settings}: ok")
        return
    logs.set_up(checked.instance.id, checked.log.level)
    daemon = make_daemon(checked)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: eventlet.spawn_n(daemon.stop))
    daemon.run()


def main() -> None:
    """Run the command line of `egretd` and exit with a documented status."""
    try:
        defopt.run(serve)
    except EgretError as error:
        print(f"egretd: {error.code}: {error.message}", file=sys.stderr)
        if error.next_step:
            print(f"egretd: next: {error.next_step}", file=sys.stderr)
        sys.exit(error.exit_status)


if __name__ == "__main__":
    main()
