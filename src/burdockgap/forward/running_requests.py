"""Running requests of a target, and the calls that they make."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

_MAX_NESTED = 16
"""Calls of one running request that have precedence at a time; more are
served like new requests, so that one request cannot displace all
others."""
_MAX_ID_LENGTH = 256
"""Longer ids are not looked up as prefixes, which bounds the time that
an id full of dots takes."""


class _Running:
    """
    A request that runs, perhaps several times.

    :ivar runs: how often it runs now.
    :ivar nested: calls made by it that have precedence.
    """

    __slots__ = ("nested", "runs")

    def __init__(self) -> None:
        self.runs = 0
        self.nested = 0


class RunningRequests:
    """
    Recognizes the calls of running requests by their ids.

    The id of such a call is that of the request, a dot, and more.

    :ivar nested_calls: calls that have precedence now.
    """

    __slots__ = ("_running", "nested_calls")

    def __init__(self) -> None:
        self._running: dict[str, _Running] = {}
        self.nested_calls = 0

    @contextlib.contextmanager
    def run(self, request_id: str) -> Iterator[None]:
        """Count a request as running while the context is open."""
        entry = self._running.setdefault(request_id, _Running())
        entry.runs += 1
        try:
            yield
        finally:
            entry.runs -= 1
            if not entry.runs:
                del self._running[request_id]

    @contextlib.contextmanager
    def nested(self, request_id: str) -> Iterator[bool]:
        """
        Find out whether a call is made by a running request.

        The call counts towards the request's limit while the context
        is open.
        """
        entry = self._find(request_id)
        if entry is None:
            yield False
            return
        entry.nested += 1
        self.nested_calls += 1
        try:
            yield True
        finally:
            entry.nested -= 1
            self.nested_calls -= 1

    def _find(self, request_id: str) -> _Running | None:
        """Return the running request that made a call, if it may."""
        if not self._running:
            return None
        end = request_id.find(".")
        while 0 < end <= _MAX_ID_LENGTH and end + 1 < len(request_id):
            entry = self._running.get(request_id[:end])
            if entry is not None and entry.nested < _MAX_NESTED:
                return entry
            end = request_id.find(".", end + 1)
        return None
