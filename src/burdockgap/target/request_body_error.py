"""The error for a request body that fails while it is forwarded."""

from __future__ import annotations


class RequestBodyError(Exception):
    """Reading a request's body from its source failed."""
