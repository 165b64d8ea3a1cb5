"""Runs the binary; exits with 99 on a write or a child process."""

from __future__ import annotations

import os
import runpy
import sys

_WRITE_FLAGS = os.O_WRONLY | os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
_FORBIDDEN_EVENTS = (
    "os.exec",
    "os.fork",
    "os.mkdir",
    "os.posix_spawn",
    "os.rename",
    "os.remove",
    "os.spawn",
    "os.system",
    "subprocess.Popen",
    "tempfile.",
)


def _audit(event, args):
    writes = event == "open" and args[2] & _WRITE_FLAGS
    if writes or event.startswith(_FORBIDDEN_EVENTS):
        print(f"forbidden: {event} {args}", file=sys.stderr, flush=True)
        os._exit(99)


sys.argv = sys.argv[1:]
sys.addaudithook(_audit)
runpy.run_path(sys.argv[0], run_name="__main__")
