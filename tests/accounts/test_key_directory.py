"""Lookup of accounts by key."""

from __future__ import annotations

import pytest

from burdockgap.accounts.account import Account
from burdockgap.accounts.key_directory import KeyDirectory


def test_each_key_leads_to_its_account():
    directory = KeyDirectory(
        [(Account("a"), [b"k1", b"k2"]), (Account("b"), [b"k3"])]
    )
    names = {
        key: account.name if account else None
        for key in (b"k1", b"k2", b"k3", b"k4", b"", b"k" * 16384)
        for account in [directory.find(key)]
    }
    assert list(names.values()) == ["a", "a", "b", None, None, None]


def test_one_key_twice_in_an_account_is_accepted():
    directory = KeyDirectory([(Account("a"), [b"k1", b"k1"])])
    assert directory.find(b"k1") is directory.accounts["a"]


@pytest.mark.parametrize(
    ("accounts", "why"),
    [
        pytest.param(
            [(Account("a"), [b"secret"]), (Account("b"), [b"secret"])],
            "accounts 'a' and 'b' have the same key",
            id="shared-key",
        ),
        pytest.param([(Account("a"), [b""])], "empty key", id="empty"),
        pytest.param(
            [(Account("a"), []), (Account("a"), [])], "twice", id="same-name"
        ),
    ],
)
def test_ambiguous_accounts_are_refused_without_naming_a_key(accounts, why):
    with pytest.raises(ValueError, match=why) as caught:
        KeyDirectory(accounts)
    assert "secret" not in str(caught.value)


def test_directory_keeps_no_key():
    """Guards against keys that a dump of the object would show."""
    directory = KeyDirectory([(Account("a"), [b"secret"])])
    ((name, prefix),) = directory.digest_prefixes()
    kept = [directory._by_digest, directory.accounts, prefix]
    assert b"secret" not in directory._by_digest
    assert "secret" not in repr(kept)
    assert (name, len(prefix)) == ("a", 8)
