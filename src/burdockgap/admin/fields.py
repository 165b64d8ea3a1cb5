"""The fields of a request body."""

from __future__ import annotations

import json
from typing import Any

from burdockgap.admin.api_error import ApiError

_MISSING = object()
_MAX_INTEGER = (1 << 63) - 1


class Fields:
    """
    The members of a JSON object.

    The methods named after types remove a member and return its value;
    :meth:`end` then rejects those left over.

    :param values: the members.
    """

    __slots__ = ("_values",)

    def __init__(self, values: dict[str, Any]) -> None:
        self._values = values

    @classmethod
    def parse(cls, body: bytes) -> Fields:
        """
        Parse a JSON body; an empty body has no fields.

        :raises ApiError: if it is not a JSON object.
        """
        try:
            values = json.loads(body or b"{}")
        except (ValueError, RecursionError) as exc:
            raise ApiError(400, f"the body is not valid JSON: {exc}") from exc
        if not isinstance(values, dict):
            raise ApiError(400, "the body must be a JSON object")
        return cls(values)

    def text(self, name: str) -> str:
        """Take a non-empty string that can be encoded as UTF-8."""
        value = self._take(name, str, "a text")
        if not value:
            raise ApiError(400, f"the field {name!r} must not be empty")
        if not _is_unicode(value):
            raise ApiError(400, f"the field {name!r} has lone surrogates")
        return str(value)

    def boolean(self, name: str) -> bool:
        """Take a boolean."""
        return bool(self._take(name, bool, "true or false"))

    def integer(self, name: str) -> int:
        """Take an integer from 0 to 2**63 - 1."""
        value = int(self._take(name, int, "an integer"))
        if not 0 <= value <= _MAX_INTEGER:
            raise ApiError(400, f"the field {name!r} is out of range")
        return value

    def optional_integer(self, name: str) -> int | None:
        """Take an integer that may be missing or null."""
        if self._values.get(name) is None:
            self._values.pop(name, None)
            return None
        return self.integer(name)

    def end(self) -> None:
        """
        Check that no field is left.

        :raises ApiError: if there are unknown fields.
        """
        if self._values:
            names = ", ".join(sorted(self._values))
            raise ApiError(400, f"remove the unknown fields {names}")

    def _take(self, name: str, kind: type, wording: str) -> Any:
        """Check the type of a field, remove it and return its value."""
        value = self._values.pop(name, _MISSING)
        if type(value) is not kind:
            raise ApiError(400, f"the field {name!r} must be {wording}")
        return value


def _is_unicode(text: str) -> bool:
    """Tell whether a string can be encoded as UTF-8."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
