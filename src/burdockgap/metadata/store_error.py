"""Errors of the store."""

from __future__ import annotations


class StoreError(Exception):
    """A call to the store failed; a write may have taken effect."""


class WriteConflict(StoreError):  # noqa: N818 - the field's term
    """The condition of a conditional write was not met."""


class OffsetOutOfRange(StoreError):  # noqa: N818 - the field's term
    """The requested records have been removed from the topic."""
