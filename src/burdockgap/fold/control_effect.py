"""What one record changed."""

from __future__ import annotations


class ControlEffect:
    """
    The effect of one record on the control state.

    :param service: service of the touched units, "" if none.
    :param units: the units whose owner, epoch or holders changed.
    :param sessions: sessions that were admitted or ended.
    :param counted: whether the record had an effect at all.
    :param everything: whether a snapshot replaced the whole state.
    """

    __slots__ = ("effective", "replaces_state", "service", "sessions", "units")

    def __init__(
        self,
        *,
        service: str = "",
        units: list[int] | None = None,
        sessions: list[int] | None = None,
        effective: bool = True,
        replaces_state: bool = False,
    ) -> None:
        self.service = service
        self.units = units or []
        self.sessions = sessions or []
        self.effective = effective
        self.replaces_state = replaces_state


NO_EFFECT = ControlEffect(effective=False)
