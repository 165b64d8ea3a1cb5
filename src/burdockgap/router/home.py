"""The server that all sends of one request go to."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.records.session_entry import SessionEntry

_WEIGHT_BYTES = 8


def home_of(servers: list[SessionEntry], request_id: str) -> SessionEntry:
    """
    Return the server whose gate remembers a request.

    Every router picks the same one by rendezvous hashing, and another
    one only for the requests whose server is not among the candidates.

    :param servers: the candidates, at least one.
    :param request_id: chosen by the caller.
    """
    return max(servers, key=lambda entry: _weight(entry.name, request_id))


def _weight(name: str, request_id: str) -> bytes:
    digest = hashlib.blake2b(digest_size=_WEIGHT_BYTES)
    digest.update(name.encode())
    digest.update(b"\0")
    digest.update(request_id.encode())
    return digest.digest()
