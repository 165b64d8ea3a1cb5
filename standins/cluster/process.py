"""A child process of the site."""

from __future__ import annotations

import signal
import subprocess
from typing import TYPE_CHECKING

import anyio

from standins.cluster.launch import Launch

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

_STOP_TIMEOUT_S = 10.0
_POLL_S = 0.02
_TAIL_LINES = 40


class Process:
    """
    A program that runs with its output in a file.

    :param name: name used in messages and of the output file.
    :param args: arguments after those of ``launch``.
    :param folder: where the output file goes.
    :param launch: how programs are started.
    :ivar is_frozen: whether it was stopped and not let run on.
    """

    __slots__ = ("_popen", "args", "is_frozen", "launch", "name", "output")

    def __init__(
        self,
        name: str,
        args: Sequence[str],
        folder: Path,
        *,
        launch: Launch | None = None,
    ) -> None:
        self.name = name
        self.launch = launch or Launch()
        self.args = list(args)
        self.output = folder / f"{name}.log"
        self.is_frozen = False
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id; the process must have been started."""
        return self._running().pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, ``None`` while the process runs."""
        return self._popen.poll() if self._popen else None

    @property
    def answers(self) -> bool:
        """Tell whether the process runs and is not frozen."""
        return self.is_running and not self.is_frozen

    @property
    def is_running(self) -> bool:
        """Tell whether the process was started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def start(self) -> None:
        """Start the process."""
        self.is_frozen = False
        with self.output.open("ab") as output:
            self._popen = subprocess.Popen(
                [*self.launch.command, *self.args],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=self.launch.env,
                cwd=self.launch.cwd,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._running().send_signal(number)

    def kill(self) -> None:
        """End the process at once and wait for it."""
        if self.is_running:
            self._running().kill()
        if self._popen is not None:
            self._popen.wait()

    def freeze(self) -> None:
        """Stop the process until :meth:`thaw`."""
        self.signal(signal.SIGSTOP)
        self.is_frozen = True

    def thaw(self) -> None:
        """Let a frozen process run on."""
        self.signal(signal.SIGCONT)
        self.is_frozen = False

    async def terminate(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """
        Ask the process to stop and return its exit code.

        :raises TimeoutError: if it still runs after ``timeout_s``.
        """
        self.signal(signal.SIGTERM)
        return await self.wait(timeout_s)

    async def wait(self, timeout_s: float) -> int:
        """Wait for the process to end and return its exit code."""
        with anyio.fail_after(timeout_s):
            while (code := self.exit_code) is None:
                await anyio.sleep(_POLL_S)
        return code

    async def port(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Return the port from the line ``listening PORT``."""
        with anyio.fail_after(timeout_s):
            while True:
                for line in self.text().splitlines():
                    if line.startswith("listening "):
                        return int(line.split()[1])
                if not self.is_running:
                    raise RuntimeError(f"{self.name} ended:\n{self.tail()}")
                await anyio.sleep(_POLL_S)

    def text(self) -> str:
        """Return the output so far."""
        return self.output.read_text(errors="replace")

    def tail(self) -> str:
        """Return the last lines of the output."""
        return "\n".join(self.text().splitlines()[-_TAIL_LINES:])

    def _running(self) -> subprocess.Popen[bytes]:
        if self._popen is None:
            raise RuntimeError(f"{self.name} was not started")
        return self._popen
