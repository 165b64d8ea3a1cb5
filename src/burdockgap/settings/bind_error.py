"""The error for a configured address that cannot be bound."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class BindError(Exception):
    """Raised if the process cannot listen on a configured address."""


@contextmanager
def binding(option: str, address: str) -> Iterator[None]:
    """
    Run a block that binds an address of the settings.

    :param option: the option that sets the address, as ``section.key``.
    :param address: the address, for the error.
    :raises BindError: if the block raises ``OSError``; it names the
        option to correct.
    """
    try:
        yield
    except OSError as exc:
        raise BindError(
            f"cannot listen on {address}: {exc.strerror or exc}; correct "
            f"{option} or stop the program that uses the address"
        ) from exc
