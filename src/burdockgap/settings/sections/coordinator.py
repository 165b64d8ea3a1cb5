"""Settings of the section ``[coordinator]``."""

from __future__ import annotations


class CoordinatorSettings:
    """
    Decisions on assignments.

    :param batch_s: time over which joins are collected into a record.
    :param bootstrap_s: time to wait for daemons at first start.
    :param claim_after_s: time without an answer to a join after which a
        daemon claims the role of coordinator.
    :param balance_every_s: time between balancing rounds.
    :param max_moves_share: largest share of units moved per round.
    :param imbalance: ratio of highest to mean load above which units
        move.
    :param hot_share: share of a service's requests from which a key
        is hot.
    :param pins: largest number of pinned keys per service.
    """

    __slots__ = (
        "balance_every_s",
        "batch_s",
        "bootstrap_s",
        "claim_after_s",
        "hot_share",
        "imbalance",
        "max_moves_share",
        "pins",
    )

    def __init__(
        self,
        *,
        batch_s: float,
        bootstrap_s: float,
        claim_after_s: float,
        balance_every_s: float,
        max_moves_share: float,
        imbalance: float,
        hot_share: float,
        pins: int,
    ) -> None:
        self.batch_s = batch_s
        self.bootstrap_s = bootstrap_s
        self.claim_after_s = claim_after_s
        self.balance_every_s = balance_every_s
        self.max_moves_share = max_moves_share
        self.imbalance = imbalance
        self.hot_share = hot_share
        self.pins = pins
