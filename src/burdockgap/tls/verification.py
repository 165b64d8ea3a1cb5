"""What the HTTP library is told about certificates."""

from __future__ import annotations

from functools import cache
from typing import TYPE_CHECKING

import httpx

if TYPE_CHECKING:
    import ssl


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
    return httpx.create_ssl_context()
