"""Rendezvous hashing of requests that a caller may resend."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.records.session_entry import SessionEntry

_WEIGHT_BYTES = 8


def rendezvous_server(
    servers: list[SessionEntry], request_id: str
) -> SessionEntry:
    """
    Return the server whose gate deduplicates a request.

    All routers select the same server. If a server leaves the
    candidates, only its own requests are mapped to another one.

    :param servers: the candidates, at least one.
    :param request_id: the id that the caller chose.
    """
    return max(servers, key=lambda entry: _weight(entry.name, request_id))


def _weight(name: str, request_id: str) -> bytes:
    digest = hashlib.blake2b(digest_size=_WEIGHT_BYTES)
    digest.update(name.encode())
    digest.update(b"\0")
    digest.update(request_id.encode())
    return digest.digest()
