"""Authentication of peer calls by the cluster secret."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping

_HEADER = "burdockgap-peer"
_PURPOSE = b"burdockgap peer call"


class PeerAuth:
    """
    Adds and checks the proof of the secret in a call's metadata.

    The proof is a keyed hash of a fixed text.

    :param secret: the cluster secret.
    """

    __slots__ = ("_proof",)

    def __init__(self, secret: bytes) -> None:
        digest = hashlib.blake2b(_PURPOSE, key=secret[:64], digest_size=16)
        self._proof = digest.hexdigest()

    def metadata(self) -> dict[str, str]:
        """Return the metadata of an outgoing call."""
        return {_HEADER: self._proof}

    def accepts(self, metadata: Mapping[str, Any] | None) -> bool:
        """Tell whether an incoming call carries the right proof."""
        given = str((metadata or {}).get(_HEADER, ""))
        return hmac.compare_digest(given.encode(), self._proof.encode())
