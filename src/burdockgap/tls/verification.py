"""Verification of TLS server certificates by the HTTP client."""

from __future__ import annotations

import ssl
from functools import cache

import certifi
import httpx


def verification(url: str) -> ssl.SSLContext | bool:
    """
    Return the ``verify`` argument of an httpx client for a URL.

    For ``https`` URLs it is an SSL context with the CA certificates,
    loaded once per process. For others it is ``False``, and no CA
    certificates are loaded.
    """
    if httpx.URL(url).scheme != "https":
        return False
    return _ssl_context()


@cache
def _ssl_context() -> ssl.SSLContext:
    # By default, httpx loads the CA bundle from a file, which certifi
    # extracts to a temporary one when the program runs from an archive.
    return ssl.create_default_context(cadata=certifi.contents())
