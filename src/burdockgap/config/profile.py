"""Request handling settings that services share."""

from __future__ import annotations

from burdockgap.config.fields import DEFAULT_PROFILE, PROFILE_FIELDS


class Profile:
    """
    Holds the settings of one named profile.

    ``PROFILE_FIELDS`` declares their ranges and defaults.

    :param name: name of the profile.
    :param idempotent: whether requests without an idempotency header
        are idempotent.
    :param deadline_ms: timeout of a request without a timeout header.
    :param attempts: maximum attempts per request, the first included.
    :param retry_budget: retries as a share of the traffic.
    :param hedge_after_ms: delay before a hedged attempt, 0 for none.
    :param hedge_budget: hedges as a share of the traffic.
    :param queue_length: maximum number of requests queued per target.
    :param queue_wait_ms: maximum wait in the queue.
    :param spill_load: load of the local data centre above which other
        data centres are used.
    :param ramp_start: initial slots of a cold target; 0 uses the number
        that the target announces.
    :param ramp_step: completed requests for each slot that a cold
        target gains.
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
        """Return the profile of services that do not set one."""
        values = {field.name: field.default for field in PROFILE_FIELDS}
        return cls(name=DEFAULT_PROFILE, **values)  # type: ignore[arg-type]
