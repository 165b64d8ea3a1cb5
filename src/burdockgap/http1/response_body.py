"""The body of a response while it is received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.http1.body_step import body_step
from burdockgap.http1.response import Response

if TYPE_CHECKING:
    from burdockgap.http1.response_limits import ResponseLimits


class ResponseBody:
    """
    Collects a body within the limits of a response.

    :param limits: limits of a response.
    """

    __slots__ = ("_charge", "_data", "_limits")

    def __init__(self, limits: ResponseLimits) -> None:
        self._limits = limits
        self._charge = limits.budget.charge("responses")
        # One object: a list of chunks of a few bytes each would take
        # ten times their size.
        self._data = bytearray()

    def __len__(self) -> int:
        return len(self._data)

    def reserve(self, size: int) -> None:
        """
        Count the bytes of a body before they arrive.

        A size above the limit of a body is left to :meth:`append`.

        :raises ValueError: if they do not fit into the memory.
        """
        if size <= self._limits.body_bytes and not self._charge.grow(size):
            raise self._no_memory()

    def append(self, part: bytes) -> None:
        """
        Add a part.

        :raises ValueError: if a limit is exceeded.
        """
        limits = self._limits
        if len(self._data) + len(part) > limits.body_bytes:
            raise ValueError(f"body exceeds {limits.body_bytes} bytes")
        self._data += part
        step = body_step(len(self._data), self._charge.size)
        if step and not self._charge.grow(step):
            raise self._no_memory()

    def discard(self) -> None:
        """Free what has arrived."""
        self._charge.release()
        self._data = bytearray()

    def complete(
        self, status: int, headers: list[tuple[str, str]]
    ) -> Response:
        """Return the response, which counts the body from now on."""
        response = Response(status, headers, bytes(self._data))
        response.charge, self._charge = (
            self._charge,
            self._limits.budget.charge("responses"),
        )
        response.charge.shrink_to(len(response.body))
        return response

    def _no_memory(self) -> ValueError:
        return ValueError(
            "does not fit into the memory limit, "
            f"{self._limits.budget.max_bytes} bytes"
        )
