"""Quorum sizes of the lease protocol."""

from __future__ import annotations


def promises_needed(witnesses: int) -> int:
    """Return how many promises prove that a holder has stopped."""
    return witnesses // 2 + 1


def renewals_needed(witnesses: int) -> int:
    """
    Return how many witnesses must acknowledge to renew a lease.

    This is the smallest number that shares a witness with every quorum
    of promises. Of two witnesses one is enough, so that a holder keeps
    its lease when the other is lost.
    """
    return witnesses - promises_needed(witnesses) + 1
