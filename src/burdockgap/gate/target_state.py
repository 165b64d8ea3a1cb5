"""The gate's view of its target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from burdockgap.gate import metrics
from burdockgap.gate.progress import Progress
from burdockgap.gate.ramp import Ramp
from burdockgap.gate.service_times import ServiceTimes
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from burdockgap.clock import Clock
    from burdockgap.gate.gate_policy import GatePolicy
    from burdockgap.target import Target, TargetInfo, TargetStatus


class TargetState:
    """
    The target process in use, its health and its limit.

    :param policy: the settings from the service's profile.
    :param clock: the time source.
    :param stall_s: seconds without a response, a healthy status or an
        accepted connection after which the target counts as stalled.
    """

    __slots__ = (
        "_down",
        "_leaving",
        "_policy",
        "_ramp",
        "info",
        "progress",
        "target",
        "times",
    )

    def __init__(
        self, *, policy: GatePolicy, clock: Clock, stall_s: float
    ) -> None:
        self.info: TargetInfo | None = None
        self.target: Target | None = None
        self.progress = Progress(stall_s=stall_s, clock=clock)
        self.times = ServiceTimes()
        self._policy = policy
        self._ramp = Ramp(start=1, slots=1, step=policy.ramp_step)
        self._down = False
        self._leaving = False

    @property
    def boot_id(self) -> str:
        """Boot id of the process in use, "" before an announcement."""
        return "" if self.info is None else self.info.boot_id

    @property
    def checks_grants(self) -> bool:
        """Whether the target itself refuses work without a grant."""
        return self.info is not None and self.info.checks_grants

    @property
    def limit(self) -> int:
        """Current maximum number of requests in flight."""
        return self._ramp.limit

    def configure(self, policy: GatePolicy) -> None:
        """Apply the settings of another profile."""
        self._policy = policy
        self._configure_ramp()

    def announced(self, info: TargetInfo, target: Target) -> bool:
        """Process an announcement; return whether ``target`` is new."""
        restarted = info.boot_id != self.boot_id
        endpoint_changed = (
            restarted or self.info is None or self.info.url != info.url
        )
        self.info = info
        if endpoint_changed:
            self.target = target
        self._down = False
        self.progress.healthy()
        self._configure_ramp()
        if restarted:
            self._leaving = False
            self._ramp.restart()
            logger.info("target {} announced at {}", info.boot_id, info.url)
        return endpoint_changed

    def ended(self, boot_id: str) -> None:
        """Record the end of a process, if it is the one in use."""
        if boot_id != self.boot_id:
            return
        self.progress.down()
        self._ramp.restart()
        if not self._down:
            self._down = True
            metrics.target_ends.inc()
            logger.warning("target {} is down", boot_id)

    def reported(self, status: TargetStatus) -> None:
        """Record a status report of the process in use."""
        self._down = False
        if status.healthy:
            self.progress.healthy()
        if status.leaving and not self._leaving:
            self._leaving = True
            logger.info(
                "target {} reports that it is shutting down", self.boot_id
            )

    def check(self) -> Target:
        """
        Return the target if it accepts requests.

        :raises Refusal: with ``not-run``.
        """
        if self.target is None or self._down:
            detail = "The target is down; retry later or elsewhere."
            raise Refusal(Verdict.NOT_RUN, Reason.TARGET_DOWN, detail)
        if self._leaving:
            detail = "The target is leaving; retry elsewhere."
            raise Refusal(Verdict.NOT_RUN, Reason.DRAINING, detail)
        return self.target

    def answered(self, service_s: float) -> None:
        """Record the head of a response."""
        self.progress.worked()
        self.times.observe(service_s)

    def completed(self, boot_id: str, service_s: float) -> None:
        """Record a complete response."""
        self.progress.worked()
        self.times.completed()
        metrics.completions.inc()
        if boot_id == self.boot_id:
            resets = self._ramp.resets
            self._ramp.completed(service_s)
            self._report_resets(resets)

    def failed(self, boot_id: str, refusal: Refusal) -> None:
        """Record an attempt without a complete response."""
        if boot_id != self.boot_id:
            return
        if refusal.reason is Reason.TARGET_SHED:
            self._ramp.shed()
        elif refusal.reason is Reason.TARGET_DOWN:
            self.progress.down()
        elif refusal.verdict is Verdict.MAY_HAVE_RUN:
            resets = self._ramp.resets
            self._ramp.failed()
            self._report_resets(resets)

    def _configure_ramp(self) -> None:
        if self.info is None:
            return
        self._ramp.configure(
            start=self._policy.ramp_start or self.info.cold_slots,
            slots=self.info.slots,
            step=self._policy.ramp_step,
        )

    def _report_resets(self, before: int) -> None:
        if self._ramp.resets > before:
            metrics.ramp_resets.inc()
            logger.warning(
                "service times of target {} rose suddenly; limit reset",
                self.boot_id,
            )
