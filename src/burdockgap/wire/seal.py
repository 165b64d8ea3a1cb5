"""
Authentication of datagrams with a keyed hash.

A sealed datagram is an 8-byte keyed BLAKE2b hash and the payload. A
datagram of a sender without the cluster secret fails to open.
"""

from __future__ import annotations

import hashlib
import hmac

_SEAL_BYTES = 8


class Sealer:
    """
    Seals and opens datagrams with one shared secret.

    :param secret: the cluster secret, at most 64 bytes are used.
    """

    __slots__ = ("_key",)

    def __init__(self, secret: bytes) -> None:
        self._key = secret[:64]

    def seal(self, payload: bytes) -> bytes:
        """Return the payload with its keyed hash in front."""
        return self._hash(payload) + payload

    def open(self, datagram: bytes) -> bytes | None:
        """Return the payload, or ``None`` if its hash is wrong."""
        payload = datagram[_SEAL_BYTES:]
        valid = hmac.compare_digest(
            datagram[:_SEAL_BYTES], self._hash(payload)
        )
        return payload if valid else None

    def _hash(self, payload: bytes) -> bytes:
        digest = hashlib.blake2b(
            payload, digest_size=_SEAL_BYTES, key=self._key
        )
        return digest.digest()
