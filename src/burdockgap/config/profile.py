"""How the requests of a service are treated."""

from __future__ import annotations

from burdockgap.config.fields import DEFAULT_PROFILE, PROFILE_FIELDS


class Profile:
    """
    A named profile; see ``PROFILE_FIELDS`` for ranges and defaults.

    :param name: the profile's name.
    :param idempotent: whether unmarked requests are idempotent.
    :param deadline_ms: time for a request that names no deadline.
    :param attempts: attempts per request, the first included.
    :param retry_budget: retries as a share of the traffic.
    :param hedge_after_ms: delay of a hedge, 0 for none.
    :param hedge_budget: hedges as a share of the traffic.
    :param queue_length: requests that may wait at a target.
    :param queue_wait_ms: longest wait in the queue.
    :param spill_load: local load above which others are used.
    :param ramp_start: first slots of a cold target, 0 for its own.
    :param ramp_step: completed requests for each slot gained.
    """

    __slots__ = (
        "attempts",
        "deadline_ms",
        "hedge_after_ms",
        "hedge_budget",
        "idempotent",
        "name",
        "queue_length",
        "queue_wait_ms",
        "ramp_start",
        "ramp_step",
        "retry_budget",
        "spill_load",
    )

    def __init__(
        self,
        *,
        name: str,
        idempotent: bool,
        deadline_ms: int,
        attempts: int,
        retry_budget: float,
        hedge_after_ms: int,
        hedge_budget: float,
        queue_length: int,
        queue_wait_ms: int,
        spill_load: float,
        ramp_start: int,
        ramp_step: int,
    ) -> None:
        self.name = name
        self.idempotent = idempotent
        self.deadline_ms = deadline_ms
        self.attempts = attempts
        self.retry_budget = retry_budget
        self.hedge_after_ms = hedge_after_ms
        self.hedge_budget = hedge_budget
        self.queue_length = queue_length
        self.queue_wait_ms = queue_wait_ms
        self.spill_load = spill_load
        self.ramp_start = ramp_start
        self.ramp_step = ramp_step

    @classmethod
    def default(cls) -> Profile:
        """Return the profile of services that name none."""
        values = {field.name: field.default for field in PROFILE_FIELDS}
        return cls(name=DEFAULT_PROFILE, **values)  # type: ignore[arg-type]
