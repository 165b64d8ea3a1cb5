"""The statements that the language knows."""

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
    A form of statement and what it does.

    :param pattern: matches the whole statement; its named groups are
        the handler's arguments.
    :param handler: does it.
    """

    __slots__ = ("handler", "pattern")

    def __init__(self, pattern: re.Pattern[str], handler: Handler) -> None:
        self.pattern = pattern
        self.handler = handler

    def match(self, text: str) -> dict[str, Any] | None:
        """Return the arguments of a statement of this form."""
        found = self.pattern.fullmatch(text)
        return found.groupdict() if found else None

    async def execute(self, run: Run, arguments: dict[str, Any]) -> None:
        """Carry a statement out."""
        await self.handler(run, **arguments)


def define_statement(pattern: str) -> Callable[[Handler], Handler]:
    """
    Add a form of statement to the language.

    :param pattern: a regular expression, in which a space stands for
        one or more of them.
    """
    compiled = re.compile(pattern.replace(" ", r"\s+"))

    def add(handler: Handler) -> Handler:
        STATEMENT_DEFINITIONS.append(StatementDefinition(compiled, handler))
        return handler

    return add
