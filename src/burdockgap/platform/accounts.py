"""Decoding of accounts from the platform's format."""

from __future__ import annotations

from typing import Any

from burdockgap.accounts.account import Account
from burdockgap.platform.fields import require_field, require_integer
from burdockgap.wire.checks import check_number

_NUMBER_TYPES = (int, float)


def decode_account(
    name: str, spec: dict[str, Any]
) -> tuple[Account, list[bytes]]:
    """
    Decode an account and its keys.

    :raises ValueError: if the entry is invalid; the message contains no
        key.
    """
    if not name.isascii() or not name.isprintable() or not name.strip():
        raise ValueError(f"name {name!r:.40} of an account is not ASCII text")
    account = Account(
        name,
        priority=require_integer(spec, "priority")
        if "priority" in spec
        else None,
        rate_per_s=_decode_number(name, spec, "rate-per-s"),
        burst=_decode_number(name, spec, "burst"),
    )
    return account, _decode_keys(name, spec)


def _decode_number(name: str, spec: dict[str, Any], field: str) -> float:
    number: float = require_field({field: 0, **spec}, field, _NUMBER_TYPES)
    return check_number(number, f"field {field!r} of account {name!r}")


def _decode_keys(name: str, spec: dict[str, Any]) -> list[bytes]:
    keys = spec.get("api-keys", [])
    if not isinstance(keys, list) or not all(
        isinstance(key, str) for key in keys
    ):
        raise ValueError(
            f"field 'api-keys' of account {name!r} is no list of strings"
        )
    try:
        return [key.encode() for key in keys]
    except UnicodeEncodeError:
        # The cause is dropped, as its message quotes the key.
        raise ValueError(
            f"account {name!r} has a key that is not valid Unicode"
        ) from None
