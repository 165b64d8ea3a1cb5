"""How many witnesses decide."""

from __future__ import annotations


def promises_needed(witnesses: int) -> int:
    """Return how many promises prove that a holder has stopped."""
    return witnesses // 2 + 1


def renewals_needed(witnesses: int) -> int:
    """
    Return how many acknowledged renewals make a lease.

    The least number that shares a witness with every set of promises
    that proves the end: of two witnesses one is enough, so that a
    holder outlives the loss of the other.
    """
    return witnesses - promises_needed(witnesses) + 1
