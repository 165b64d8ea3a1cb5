"""Failures of the store."""

from __future__ import annotations


class StoreError(Exception):
    """The store did not answer as asked; a write may have been done."""


class WriteConflict(StoreError):  # noqa: N818 - the field's term
    """A conditional write found another state than it named."""


class OffsetOutOfRange(StoreError):  # noqa: N818 - the field's term
    """Records that were asked for have been removed."""
