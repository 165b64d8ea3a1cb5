"""What the HTTP library is told about certificates."""

from __future__ import annotations

import ssl
from functools import cache

import certifi
import httpx


def verification(url: str) -> ssl.SSLContext | bool:
    """
    Return what verifies the certificate of a URL's server.

    Without TLS no authorities are loaded; with it they are loaded once
    for all connections of the process.
    """
    if httpx.URL(url).scheme != "https":
        return False
    return _authorities()


@cache
def _authorities() -> ssl.SSLContext:
    # The HTTP library would extract the list to a temporary file when
    # the program runs from an archive.
    return ssl.create_default_context(cadata=certifi.contents())
