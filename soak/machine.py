"""One machine: a daemon's process and the server beside it."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from soak.promises import THAW_SLACK_S
from soak.server import SoakServer
from standins.cluster.process import Process
from standins.sidecar.settings_file import make_settings_text

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from soak.promises import Promises

CALLERS_PORT = 8304
READY_PORT = 8302
STORE_PORT = 8309


class Machine:
    """
    A daemon as a process of its own, its server, and what befell them.

    :param name: the machine's name.
    :param net: first two numbers of its addresses.
    :param index: last number of its addresses.
    :param service: service of its server.
    :param data_centre: its data centre.
    :param folder: where settings and output go.
    :param promises: told what the server does.
    :param out_for_s: returns for how long its data centre has been out.
    :ivar lives: processes started so far.
    :ivar stopping: whether a fault is about to end and restart it.
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
        promises: Promises,
        out_for_s: Callable[[], float],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.name = name
        self.real = f"{net}.0.{index}"
        self.advertised = f"{net}.1.{index}"
        self.data_centre = data_centre
        self.lives = 0
        self.stopping = False
        self._faults = 0
        self._disturbed_at = -math.inf
        self._thawed_at = -math.inf
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
            promises=promises,
            thawed=self.thawed_now,
            calm_s=self.calm_s,
            out_for_s=out_for_s,
        )

    @property
    def incarnation(self) -> str:
        """Names the daemon and its process."""
        return f"{self.name}#{self.lives}"

    def start(self) -> None:
        """Start the daemon's process."""
        self.lives += 1
        self.process.start()
        self.disturbed()

    @property
    def is_spared(self) -> bool:
        """Tell whether no other fault may begin on its process."""
        return self.stopping or not self.process.answers

    def disturbed(self) -> None:
        """Note that something was done to the machine."""
        self._disturbed_at = self._loop.time()

    def fault_begins(self) -> None:
        """Count a fault that lasts."""
        self._faults += 1
        self.disturbed()

    def fault_ends(self) -> None:
        """Count the end of such a fault."""
        self._faults -= 1
        self.disturbed()
        self._thawed_at = self._loop.time()

    def thawed_now(self) -> bool:
        """Tell whether grants may have been held up on their way."""
        since_s = self._loop.time() - self._thawed_at
        return self._faults > 0 or since_s < THAW_SLACK_S

    def calm_s(self) -> float:
        """Return for how long nothing was done to the machine."""
        if self._faults or not self.process.answers:
            return 0.0
        return self._loop.time() - self._disturbed_at
