"""One statement of a scenario."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from standins.scenario.run import Run
    from standins.scenario.statement_definition import StatementDefinition


class Statement:
    """
    A parsed line of a scenario.

    :param line: the line number, from 1.
    :param text: the line without its comment.
    :param definition: what the statement does.
    :param arguments: arguments of the handler, by name.
    """

    __slots__ = ("arguments", "line", "text", "definition")

    def __init__(
        self,
        *,
        line: int,
        text: str,
        definition: StatementDefinition,
        arguments: dict[str, Any],
    ) -> None:
        self.line = line
        self.text = text
        self.definition = definition
        self.arguments = arguments

    async def execute(self, run: Run) -> None:
        """Execute the statement."""
        await self.definition.execute(run, self.arguments)
