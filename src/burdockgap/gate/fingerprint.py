"""Fingerprints that identify a request across resends."""

from __future__ import annotations

import hashlib

BODY_START_BYTES = 4096
_DIGEST_BYTES = 8
_MASK_63_BITS = (1 << 63) - 1


def fingerprint_of(method: str, path: str, body_start: bytes) -> int:
    """
    Return the 63-bit fingerprint of a request.

    :param method: HTTP method.
    :param path: path with the query string.
    :param body_start: the start of the body; bytes beyond
        ``BODY_START_BYTES`` are ignored.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method.encode(), path.encode()):
        digest.update(len(part).to_bytes(_DIGEST_BYTES, "little"))
        digest.update(part)
    digest.update(body_start[:BODY_START_BYTES])
    return int.from_bytes(digest.digest(), "little") & _MASK_63_BITS
