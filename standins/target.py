"""
A stand-in target, run as a separate process.

``python -m standins.target --service NAME --announce ADMIN_URL``
"""

from __future__ import annotations

import argparse
import secrets
import signal
import socket
import sys

import anyio
import hypercorn.asyncio
from hypercorn.config import Config

from standins.target_announcer import TargetAnnouncer
from standins.target_app import TargetApp
from standins.target_work import TargetWork

_MS_PER_S = 1000
_DRAIN_POLL_S = 0.02
_SHUTDOWN_GRACE_S = 0.2


def main(argv: list[str] | None = None) -> int:
    """
    Run a target until SIGTERM arrives, then drain it.

    :param argv: command-line arguments, ``None`` for ``sys.argv[1:]``.
    :return: exit code.
    """
    anyio.run(_run, _parser().parse_args(argv))
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="standins.target")
    parser.add_argument("--service", required=True)
    parser.add_argument("--name", default="")
    parser.add_argument("--announce", default="", metavar="ADMIN_URL")
    parser.add_argument("--token", default="")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--cold-slots", type=int, default=1)
    parser.add_argument("--warm-step", type=int, default=8)
    parser.add_argument("--service-ms", type=float, default=2.0)
    parser.add_argument("--cold-ms", type=float, default=None)
    parser.add_argument("--leave-timeout-s", type=float, default=30.0)
    parser.add_argument("--history-file", default="")
    grants = parser.add_mutually_exclusive_group()
    grants.add_argument("--checks-grants", dest="checks", action="store_true")
    grants.add_argument(
        "--ignores-grants", dest="checks", action="store_false"
    )
    parser.set_defaults(checks=True)
    return parser


async def _run(args: argparse.Namespace) -> None:
    listener = socket.create_server((args.host, args.port))
    port = listener.getsockname()[1]
    boot_id = secrets.token_hex(8)
    work = _new_work(args)
    app = TargetApp(
        name=args.name or f"{args.service}-{port}",
        boot_id=boot_id,
        work=work,
    )
    announcer = _new_announcer(args, boot_id, port)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_drain_on_signal, args, app, work, announcer, stop)
        if announcer is not None:
            tasks.start_soon(announcer.announce)
        sys.stdout.write(f"listening {port}\n")
        sys.stdout.flush()
        tasks.start_soon(_serve, app, listener, stop, tasks.cancel_scope)


async def _serve(
    app: TargetApp,
    listener: socket.socket,
    stop: anyio.Event,
    task_scope: anyio.CancelScope,
) -> None:
    config = Config()
    config.bind = [f"fd://{listener.fileno()}"]
    config.graceful_timeout = _SHUTDOWN_GRACE_S
    config.accesslog = None
    config.errorlog = None
    await hypercorn.asyncio.serve(
        app,  # type: ignore[arg-type]
        config,
        shutdown_trigger=stop.wait,
    )
    task_scope.cancel()


def _new_work(args: argparse.Namespace) -> TargetWork:
    cold_ms = args.service_ms if args.cold_ms is None else args.cold_ms
    return TargetWork(
        slots=args.slots,
        cold_slots=args.cold_slots,
        warm_step=args.warm_step,
        service_s=args.service_ms / _MS_PER_S,
        cold_s=cold_ms / _MS_PER_S,
        checks_grants=args.checks,
        history_file=args.history_file,
    )


def _new_announcer(
    args: argparse.Namespace, boot_id: str, port: int
) -> TargetAnnouncer | None:
    if not args.announce:
        return None
    announcement = {
        "service": args.service,
        "url": f"http://{args.host}:{port}",
        "boot_id": boot_id,
        "slots": args.slots,
        "cold_slots": args.cold_slots,
        "checks_grants": args.checks,
    }
    return TargetAnnouncer(
        admin_url=args.announce,
        token=args.token,
        announcement=announcement,
    )


async def _drain_on_signal(
    args: argparse.Namespace,
    app: TargetApp,
    work: TargetWork,
    announcer: TargetAnnouncer | None,
    stop: anyio.Event,
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            break
    app.leaving = True
    with anyio.move_on_after(args.leave_timeout_s):
        if announcer is not None:
            await announcer.announce_leaving()
            await app.drained.wait()
        while work.in_flight:
            await anyio.sleep(_DRAIN_POLL_S)
    stop.set()


if __name__ == "__main__":
    sys.exit(main())
