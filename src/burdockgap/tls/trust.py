"""Whom connections over TLS trust."""

from __future__ import annotations

import ssl
from functools import cache

import certifi


def trust_for(url: str) -> ssl.SSLContext | bool:
    """
    Return the ``verify`` argument of an HTTP client.

    The client's own default extracts its list of certificates to a
    temporary file when it runs from an archive, also for plain HTTP.

    :param url: the only server that the client is for.
    :return: the trusted certificates, ``False`` for plain HTTP.
    """
    if not url.lower().startswith("https:"):
        return False
    return _trusted()


@cache
def _trusted() -> ssl.SSLContext:
    return ssl.create_default_context(cadata=certifi.contents())
