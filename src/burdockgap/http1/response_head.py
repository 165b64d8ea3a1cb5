"""Checks and values of the head of a response."""

from __future__ import annotations

_MIN_STATUS = 100
_MIN_FINAL_STATUS = 200
_MAX_STATUS = 599
"""RFC 9110, section 15: a status outside of 100 to 599 is invalid."""


def check_status(status: int, *, has_body: bool) -> None:
    """
    Check that a status is one, and fits the rest of the head.

    :param has_body: whether the head announces a body.
    :raises ValueError: if the response is not valid.
    """
    if not _MIN_STATUS <= status <= _MAX_STATUS:
        raise ValueError(
            f"has the status {status:03}; "
            f"valid are {_MIN_STATUS} to {_MAX_STATUS}"
        )
    if has_body and not is_final(status):
        raise ValueError(
            f"has a body with the status {status} of an interim response"
        )


def is_final(status: int) -> bool:
    """Return whether no other response to the request follows."""
    return status >= _MIN_FINAL_STATUS


def keep_alive_s(value: str) -> float | None:
    """
    Return the timeout of a ``Keep-Alive`` header, in seconds.

    :return: ``None`` if it has none.
    """
    timeout_s = None
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        number = number.strip()
        if name.lower() == "timeout" and number.isascii() and number.isdigit():
            timeout_s = float(number)
    return timeout_s
