"""The failure to listen on an address of the settings."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class BindError(Exception):
    """An address of the settings cannot be listened on."""


@contextmanager
def binding(option: str, address: str) -> Iterator[None]:
    """
    Bind an address in the block.

    :param option: the option that names the address.
    :raises BindError: in place of an ``OSError``, with what to do.
    """
    try:
        yield
    except OSError as exc:
        raise BindError(
            f"cannot listen on {address}: {exc.strerror or exc}; correct "
            f"{option} or stop the program that uses the address"
        ) from exc
