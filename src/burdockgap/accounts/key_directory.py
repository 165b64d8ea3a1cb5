"""The accounts of a configuration by the keys of their clients."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockgap.accounts.account import Account

_PREFIX_BYTES = 4


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is stored and compared."""
    return hashlib.sha256(key).digest()


class KeyDirectory:
    """
    Accounts by the digests of their keys.

    The keys themselves are not kept. A lookup compares digests only, so
    its duration tells nothing about how much of a key is right.

    :param accounts: each account with its keys.
    :raises ValueError: if two accounts have the same name or key, or a
        key is empty; the message names accounts, never a key.
    """

    __slots__ = ("_by_digest", "accounts")

    def __init__(
        self, accounts: Iterable[tuple[Account, Iterable[bytes]]]
    ) -> None:
        self.accounts: dict[str, Account] = {}
        self._by_digest: dict[bytes, Account] = {}
        for account, keys in accounts:
            if account.name in self.accounts:
                raise ValueError(f"account {account.name!r} occurs twice")
            self.accounts[account.name] = account
            for key in keys:
                self._add(account, key)

    def _add(self, account: Account, key: bytes) -> None:
        if not key:
            raise ValueError(f"account {account.name!r} has an empty key")
        other = self._by_digest.setdefault(digest_key(key), account)
        if other is not account:
            raise ValueError(
                f"accounts {other.name!r} and {account.name!r} have the "
                "same key"
            )

    def find(self, key: bytes) -> Account | None:
        """Return the account of a key, ``None`` if there is none."""
        return self._by_digest.get(digest_key(key))

    def digest_prefixes(self) -> set[tuple[str, str]]:
        """
        Return account name and digest prefix of each key, for the log.

        A prefix of 4 bytes tells the keys of an account apart and does
        not allow a guessed key to be confirmed with certainty.
        """
        return {
            (account.name, digest[:_PREFIX_BYTES].hex())
            for digest, account in self._by_digest.items()
        }
