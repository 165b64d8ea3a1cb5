"""
Units of ownership: slices of the hash space and pinned keys.

A unit id is an integer. A slice's id is its index. A pinned key's id is
the key's 63-bit hash with bit 63 set.
"""

from __future__ import annotations

import hashlib

_HASH_BYTES = 8
_PIN_BIT = 1 << 63
_HASH_MASK = _PIN_BIT - 1
# 2**64 divided by the golden ratio (Fibonacci hashing)
_MIX_FACTOR = 0x9E3779B97F4A7C15
_MIX_SHIFT = 40


def hash_key(key: str) -> int:
    """Return the 63-bit hash of a key."""
    digest = hashlib.blake2b(key.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "little") & _HASH_MASK


def pin_of(key_hash: int) -> int:
    """Return the unit id that a key has when it is pinned."""
    return key_hash | _PIN_BIT


def is_pin(unit: int) -> bool:
    """Tell whether a unit is a pinned key."""
    return bool(unit & _PIN_BIT)


def slice_of(unit_or_hash: int, slices: int) -> int:
    """
    Return the slice that a key's hash, a pin or a slice belongs to.

    :param slices: number of slices of the service, a power of two.
    """
    return unit_or_hash & (slices - 1)


def choose_successor(successors: list[int], slice_index: int) -> int:
    """
    Return the successor of a slice, or 0 if no session is named.

    :param successors: session ids in the order of the ``Admit`` record.
    """
    if not successors:
        return 0
    mixed = (slice_index + 1) * _MIX_FACTOR & (2**64 - 1)
    return successors[(mixed >> _MIX_SHIFT) % len(successors)]
