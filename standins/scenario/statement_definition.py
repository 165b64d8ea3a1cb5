"""Definitions of the statements of the scenario language."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from standins.scenario.run import Run

Handler = Callable[..., Awaitable[None]]
STATEMENT_DEFINITIONS: list[StatementDefinition] = []


class StatementDefinition:
    """
    The syntax of a statement and its handler.

    :param pattern: matches the whole statement; its named groups are
        keyword arguments of the handler.
    :param handler: executes the statement.
    """

    __slots__ = ("handler", "pattern")

    def __init__(self, pattern: re.Pattern[str], handler: Handler) -> None:
        self.pattern = pattern
        self.handler = handler

    def match(self, text: str) -> dict[str, Any] | None:
        """Return the handler's arguments, ``None`` without a match."""
        found = self.pattern.fullmatch(text)
        return found.groupdict() if found else None

    async def execute(self, run: Run, arguments: dict[str, Any]) -> None:
        """Execute a statement."""
        await self.handler(run, **arguments)


def define_statement(pattern: str) -> Callable[[Handler], Handler]:
    """
    Register the decorated function as the handler of a statement.

    :param pattern: a regular expression for the whole statement, in
        which a space matches one or more whitespace characters.
    """
    compiled = re.compile(pattern.replace(" ", r"\s+"))

    def add(handler: Handler) -> Handler:
        STATEMENT_DEFINITIONS.append(StatementDefinition(compiled, handler))
        return handler

    return add
