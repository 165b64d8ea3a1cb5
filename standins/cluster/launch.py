"""How the programs of a site are launched."""

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
    The command prefix, environment and directory of a process.

    :param command: first words of the command line, by default the
        current interpreter.
    :param env: the complete environment; by default that of this
        process, with the project's tree as ``PYTHONPATH``.
    :param cwd: the working directory.
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
        self.env = _default_env() if env is None else dict(env)
        self.cwd = cwd


def _default_env() -> dict[str, str]:
    paths = [str(ROOT / "src"), str(ROOT)]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}
