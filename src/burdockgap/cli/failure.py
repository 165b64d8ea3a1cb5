"""The exception that ends a command with an exit code."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.cli.exit_code import ExitCode


class CliFailure(Exception):  # noqa: N818 - not always an error
    """
    Ends a command with an exit code and a message.

    :param code: the exit code.
    :param text: what is wrong and what to do.
    """

    def __init__(self, code: ExitCode, text: str) -> None:
        super().__init__(text)
        self.code = code
