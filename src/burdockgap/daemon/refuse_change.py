"""Refusal of changes that would have no effect if appended."""

from __future__ import annotations

from functools import singledispatch

from returns.pipeline import is_successful

from burdockgap.admin import ChangeOutcome, ChangeVerdict
from burdockgap.config.replacement import read_replacement
from burdockgap.fold.folds import Folds
from burdockgap.records.end_session import EndSession
from burdockgap.records.publish import Publish


@singledispatch
def refuse(_change: object, _folds: Folds) -> ChangeOutcome | None:
    """
    Return the refusal of a change that would have no effect.

    :param _change: the change.
    :param _folds: the folded state of the daemon.
    :return: ``None`` if the change is to be appended.
    """
    return None


@refuse.register
def _(change: Publish, folds: Folds) -> ChangeOutcome | None:
    read = read_replacement(folds.config.document, change.document)
    if is_successful(read):
        return None
    return ChangeOutcome(
        verdict=ChangeVerdict.INVALID,
        version=folds.config.version,
        reason="; ".join(str(problem) for problem in read.failure()),
    )


@refuse.register
def _(change: EndSession, folds: Folds) -> ChangeOutcome | None:
    if folds.control.is_live(change.session_id):
        return None
    return ChangeOutcome(
        verdict=ChangeVerdict.NOT_FOUND,
        version=folds.config.version,
        reason="no such session is live; see the status",
    )
