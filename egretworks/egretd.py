"""Run the daemon `egretd` from its command line."""

from __future__ import annotations

import signal
import warnings

# egretd reloads nothing, and the default action would end it with the requests in hand.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# The users require eventlet, so operators can do nothing about its deprecation warning.
warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

# The hub must be selected before monkey patching; grpclib needs the asyncio hub.
from eventlet import hubs  # noqa: E402

hubs.use_hub("eventlet.hubs.asyncio")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import argparse  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

from egretworks import logs  # noqa: E402
from egretworks.config import read_settings  # noqa: E402
from egretworks.daemon import make_daemon  # noqa: E402
from egretworks.exceptions import EgretError  # noqa: E402


def serve(path: Path, *, check_only: bool) -> None:
    """Run a daemon with the settings in the file `path`, or only check them."""
    settings = read_settings(path)
    if check_only:
        print(f"{path}: ok")
        return
    logs.set_up(settings.instance.id, settings.log.level)
    daemon = make_daemon(settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: eventlet.spawn_n(daemon.stop))
    daemon.run()


def _parse_arguments() -> argparse.Namespace:
    """Parse the command line.

    This uses `argparse` rather than defopt, whose modules would stay in the memory of the daemon
    as long as it runs.
    """
    parser = argparse.ArgumentParser(prog="egretd", description="Run a daemon beside a target.")
    parser.add_argument("settings", type=Path, help="path of the TOML file with the settings")
    parser.add_argument(
        "--check-settings",
        action="store_true",
        help="check the settings, print the result and exit",
    )
    return parser.parse_args()


def main() -> None:
    """Run `egretd`; on an `EgretError`, print it and exit with its `exit_status`."""
    try:
        arguments = _parse_arguments()
        serve(arguments.settings, check_only=arguments.check_settings)
    except EgretError as error:
        print(f"egretd: {error.code}: {error.message}", file=sys.stderr)
        if error.next_step:
            print(f"egretd: next: {error.next_step}", file=sys.stderr)
        sys.exit(error.exit_status)


if __name__ == "__main__":
    main()
