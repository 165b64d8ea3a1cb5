"""Runs the demo: ``python -m demo``."""

from __future__ import annotations

import signal
import sys

import anyio

from burdockgap.tasks.background import background
from demo.run import run_demo


async def main() -> int:
    """
    Run the demo until it ends or SIGTERM or SIGINT arrives.

    :return: the exit code.
    """
    with anyio.CancelScope() as scope:
        async with background(_cancel_on_signal, scope):
            return await run_demo()
    print("demo: failed: it was interrupted", file=sys.stderr)
    return 1


async def _cancel_on_signal(scope: anyio.CancelScope) -> None:
    # An exception raised by a signal handler could arrive between the
    # start of a process and the recording of its id.
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()


if __name__ == "__main__":
    sys.exit(anyio.run(main))
