"""The effect of a record of the ``control`` stream."""

from __future__ import annotations


class ControlEffect:
    """
    What one record changed in the control state.

    :param service: service of the changed units, "" if none.
    :param units: the units whose owner, epoch or holders changed.
    :param sessions: sessions that were admitted or ended.
    :param effective: whether the record had any effect.
    :param replaces_state: whether a snapshot replaced the whole state.
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
