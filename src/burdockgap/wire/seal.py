"""
Authentication of datagrams with a keyed hash.

A sealed datagram is an 8-byte keyed BLAKE2b hash followed by the
payload, which is not encrypted. Opening a datagram fails if its sender
did not have the cluster secret.
"""

from __future__ import annotations

import hashlib
import hmac

_HASH_BYTES = 8


class Sealer:
    """
    Adds keyed hashes to datagrams and verifies them.

    :param secret: the cluster secret, at most 64 bytes are used.
    """

    __slots__ = ("_key",)

    def __init__(self, secret: bytes) -> None:
        self._key = secret[:64]

    def seal(self, payload: bytes) -> bytes:
        """Return the payload, preceded by its keyed hash."""
        return self._hash(payload) + payload

    def open(self, datagram: bytes) -> bytes | None:
        """Return the payload, or ``None`` if its hash is wrong."""
        payload = datagram[_HASH_BYTES:]
        valid = hmac.compare_digest(
            datagram[:_HASH_BYTES], self._hash(payload)
        )
        return payload if valid else None

    def _hash(self, payload: bytes) -> bytes:
        digest = hashlib.blake2b(
            payload, digest_size=_HASH_BYTES, key=self._key
        )
        return digest.digest()
