"""Reading of a settings file for a command."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from burdockgap.cli.exit_code import ExitCode
from burdockgap.cli.failure import CliFailure
from burdockgap.settings import load_settings

if TYPE_CHECKING:
    from burdockgap.settings import Settings


def read_settings(path: str) -> Settings:
    """
    Load a settings file for a command.

    :raises CliFailure: with every problem of the file.
    """
    result = load_settings(path)
    if isinstance(result, Success):
        settings: Settings = result.unwrap()
        return settings
    problems = result.failure()
    lines = "".join(f"\n  {problem}" for problem in problems)
    raise CliFailure(
        ExitCode.BAD_INPUT, f"correct {len(problems)} problem(s):{lines}"
    )
