"""Statements about the network between daemons and the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from standins.scenario.statement_definition import define_statement

if TYPE_CHECKING:
    from standins.scenario.run import Run


@define_statement(r"cut (?P<first>.+) from (?P<second>.+)")
async def cut_one_way(run: Run, *, first: str, second: str) -> None:
    """Drop what the first group sends to the second."""
    left, right = run.groups(first, second)
    run.record_fault()
    run.cut_off |= left
    run.links.cut(left, right)


@define_statement(r"cut (?P<first>.+) and (?P<second>.+)")
async def cut_both_ways(run: Run, *, first: str, second: str) -> None:
    """Drop what two groups send to each other."""
    left, right = run.groups(first, second)
    run.record_fault()
    run.cut_off |= left
    run.links.cut(left, right)
    run.links.cut(right, left)


@define_statement(
    r"delay (?P<first>.+) and (?P<second>.+) (?P<seconds>[\d.]+)s"
)
async def delay(run: Run, *, first: str, second: str, seconds: str) -> None:
    """Delay by some seconds what two groups send to each other."""
    left, right = run.groups(first, second)
    run.links.delay(left, right, float(seconds))
    run.links.delay(right, left, float(seconds))


@define_statement(r"heal")
async def heal(run: Run) -> None:
    """Remove all cuts and delays."""
    run.record_fault()
    run.cut_off.clear()
    run.links.heal()
