"""How the site's programs are started."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

ROOT = Path(__file__).resolve().parents[2]


class Launch:
    """
    What a program is started with.

    :param command: start of the command line, by default this
        interpreter, which finds the modules of the project's tree.
    :param env: the whole environment, by default that of this process.
    :param cwd: the current directory.
    """

    __slots__ = ("command", "cwd", "env")

    def __init__(
        self,
        *,
        command: Sequence[str] = (sys.executable,),
        env: Mapping[str, str] | None = None,
        cwd: Path = ROOT,
    ) -> None:
        self.command = list(command)
        self.env = _own_environment() if env is None else dict(env)
        self.cwd = cwd


def _own_environment() -> dict[str, str]:
    paths = [str(ROOT / "src"), str(ROOT)]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}
