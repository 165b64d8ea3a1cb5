"""A child process of a site."""

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
    A child process whose output is appended to a file.

    :param name: name of the process in messages and, with the suffix
        ``.log``, of its output file.
    :param args: arguments after the command of ``launch``.
    :param folder: directory of the output file.
    :param launch: how to launch the process.
    :ivar is_frozen: whether the process is suspended by :meth:`freeze`.
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
        """Return the process id; raise if it was never started."""
        return self._require_started().pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, ``None`` if running or not started."""
        return self._popen.poll() if self._popen else None

    @property
    def answers(self) -> bool:
        """Return whether the process is running and not frozen."""
        return self.is_running and not self.is_frozen

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not exited."""
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
        self._require_started().send_signal(number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        if self.is_running:
            self._require_started().kill()
        if self._popen is not None:
            self._popen.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP until :meth:`thaw`."""
        self.signal(signal.SIGSTOP)
        self.is_frozen = True

    def thaw(self) -> None:
        """Resume a frozen process with SIGCONT."""
        self.signal(signal.SIGCONT)
        self.is_frozen = False

    async def terminate(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """
        Send SIGTERM, wait for the exit and return the exit code.

        :raises TimeoutError: if the process has not exited after
            ``timeout_s`` seconds.
        """
        self.signal(signal.SIGTERM)
        return await self.wait(timeout_s)

    async def wait(self, timeout_s: float) -> int:
        """
        Wait for the process to exit and return its exit code.

        :raises TimeoutError: if the process has not exited after
            ``timeout_s`` seconds.
        """
        with anyio.fail_after(timeout_s):
            while (code := self.exit_code) is None:
                await anyio.sleep(_POLL_S)
        return code

    async def port(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """
        Wait for the output line ``listening PORT``; return the port.

        :raises RuntimeError: if the process has exited without it.
        :raises TimeoutError: if it is missing after ``timeout_s``
            seconds.
        """
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

    def _require_started(self) -> subprocess.Popen[bytes]:
        if self._popen is None:
            raise RuntimeError(f"{self.name} was not started; call start()")
        return self._popen
