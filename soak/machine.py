"""A machine: a daemon process and the server beside it."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from soak.invariants import LATE_GRANT_S
from soak.server import SoakServer
from standins.cluster.process import Process
from standins.sidecar.settings_file import make_settings_text

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from soak.invariants import InvariantChecker

CALLERS_PORT = 8304
READY_PORT = 8302
STORE_PORT = 8309


class Machine:
    """
    A daemon process, its server and the faults injected in them.

    :param name: the machine's name.
    :param net: first two octets of its addresses.
    :param index: last octet of its addresses.
    :param service: the service of its server.
    :param data_centre: its data centre.
    :param folder: where its settings and output are written.
    :param checker: records the events of the server.
    :param evacuated_for_s: returns the time since the evacuation of
        its data centre, 0 if it is not evacuated.
    :ivar start_count: number of daemon processes started so far.
    :ivar stopping: whether a fault is restarting the daemon.
    """

    def __init__(
        self,
        name: str,
        *,
        net: str,
        index: int,
        service: str,
        data_centre: str,
        folder: Path,
        checker: InvariantChecker,
        evacuated_for_s: Callable[[], float],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.name = name
        self.real = f"{net}.0.{index}"
        self.advertised = f"{net}.1.{index}"
        self.data_centre = data_centre
        self.start_count = 0
        self.stopping = False
        self._active_faults = 0
        self._disturbed_at = -math.inf
        self._fault_ended_at = -math.inf
        settings = folder / f"{name}.toml"
        settings.write_text(
            make_settings_text(
                name=name,
                host=self.advertised,
                listen=self.real,
                zone=data_centre,
                service=service,
                store=f"{self.advertised}:{STORE_PORT}",
            )
        )
        self.process = Process(
            name,
            ["-m", "burdockgap", "sidecar", "--settings", str(settings)],
            folder,
        )
        self.server = SoakServer(
            name=name,
            service=service,
            host=f"{net}.2.{index}",
            control=self.real,
            data_centre=data_centre,
            checker=checker,
            grants_may_be_late=self.grants_may_be_late,
            undisturbed_s=self.undisturbed_s,
            evacuated_for_s=evacuated_for_s,
        )

    @property
    def incarnation(self) -> str:
        """Identifies the daemon and its process."""
        return f"{self.name}#{self.start_count}"

    def start(self) -> None:
        """Start the daemon's process."""
        self.start_count += 1
        self.process.start()
        self.mark_disturbed()

    @property
    def is_faulty(self) -> bool:
        """
        Tell whether no other fault may begin on its process.

        The process is being restarted, has ended or is frozen.
        """
        return self.stopping or not self.process.answers

    def mark_disturbed(self) -> None:
        """Record the current time as that of the last fault."""
        self._disturbed_at = self._loop.time()

    def begin_fault(self) -> None:
        """Record the start of a fault with a duration."""
        self._active_faults += 1
        self.mark_disturbed()

    def end_fault(self) -> None:
        """Record the end of a fault with a duration."""
        self._active_faults -= 1
        self.mark_disturbed()
        self._fault_ended_at = self._loop.time()

    def grants_may_be_late(self) -> bool:
        """Tell whether a fault may have delayed grants in transit."""
        since_s = self._loop.time() - self._fault_ended_at
        return self._active_faults > 0 or since_s < LATE_GRANT_S

    def undisturbed_s(self) -> float:
        """Return the time since the last fault, 0 during a fault."""
        if self._active_faults or not self.process.answers:
            return 0.0
        return self._loop.time() - self._disturbed_at
