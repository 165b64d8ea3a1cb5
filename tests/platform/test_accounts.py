"""Decoding of accounts in a configuration."""

from __future__ import annotations

import pytest

from burdockgap.platform.documents import decode_config
from standins.sidecar.documents import (
    make_account,
    make_config,
    make_route,
    make_service,
)

SECRET = "key-that-is-secret"


def test_account_is_decoded():
    config = decode_config(
        make_config(
            make_account(
                "acme",
                "k1",
                "k\u00e9",
                priority=2,
                burst=30,
                **{"rate-per-s": 7.5},
            ),
            make_account("plain", "k2"),
        )
    )
    acme = config.accounts.find("k\u00e9".encode())
    assert acme is config.accounts.find(b"k1")
    assert (acme.name, acme.priority) == ("acme", 2)
    assert (acme.rate_per_s, acme.burst) == (7.5, 30)
    plain = config.accounts.find(b"k2")
    assert (plain.priority, plain.rate_per_s, plain.burst) == (None, 0, 0)


def test_config_without_accounts_has_none():
    config = decode_config(make_config(make_service("a")))
    assert config.accounts is None


@pytest.mark.parametrize("value", [True, False])
def test_route_decides_on_anonymous_requests(value):
    config = decode_config(
        make_config(
            make_route("x", "a", **{"allow-anonymous": value}),
            make_route("y", "a"),
            make_service("a"),
        )
    )
    assert config.find("a.example", "/x/1").allow_anonymous is value
    assert config.find("a.example", "/y/1").allow_anonymous is False


@pytest.mark.parametrize(
    ("resource", "why"),
    [
        pytest.param(
            make_account("a", **{"api-keys": SECRET}),
            "no list",
            id="keys-text",
        ),
        pytest.param(
            make_account("a", **{"api-keys": [SECRET, 5]}),
            "no list of strings",
            id="key-number",
        ),
        pytest.param(
            make_account("a", **{"api-keys": {SECRET: 1}}),
            "no list",
            id="keys-object",
        ),
        pytest.param(make_account("a", SECRET, ""), "empty key", id="empty"),
        pytest.param(
            make_account("a", SECRET, "\ud800" + SECRET),
            "not valid Unicode",
            id="surrogate",
        ),
        pytest.param(
            make_account("a", SECRET, **{"rate-per-s": -1}),
            "'rate-per-s' of account 'a' is out of range",
            id="rate-negative",
        ),
        pytest.param(
            make_account("a", SECRET, **{"rate-per-s": "7"}),
            "field 'rate-per-s'",
            id="rate-text",
        ),
        pytest.param(
            make_account("a", SECRET, burst=True), "field 'burst'", id="burst"
        ),
        pytest.param(
            make_account("a", SECRET, priority=-1), "priority", id="priority"
        ),
        pytest.param(make_account("", SECRET), "name ''", id="no-name"),
        pytest.param(
            make_account("a\r\nx: y", SECRET), "not ASCII", id="name-lines"
        ),
        pytest.param(
            {**make_account("a"), "specification": [SECRET]},
            "field 'specification'",
            id="specification-list",
        ),
        pytest.param([SECRET], "of type list", id="resource-list"),
        pytest.param(
            make_account("b", SECRET), "'b' and 'z'", id="key-of-another"
        ),
        pytest.param(make_account("z"), "'z' occurs twice", id="same-name"),
        pytest.param(
            make_route("x", "a", **{"allow-anonymous": "yes"}),
            "field 'allow-anonymous'",
            id="anonymous-text",
        ),
    ],
)
def test_invalid_account_is_refused_without_naming_a_key(resource, why):
    resources = [resource, make_account("z", SECRET), make_service("a")]
    with pytest.raises(ValueError, match=why) as caught:
        decode_config(make_config(*resources))
    assert SECRET not in str(caught.value)
    assert caught.value.__cause__ is None
