"""The failure of a request's body on its way to the target."""

from __future__ import annotations


class RequestBodyError(Exception):
    """The source of a request's body failed."""
