"""The interface through which leases and ownership read the folds."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.fold.control_effect import ControlEffect
    from burdockgap.fold.control_state import ControlState


class FoldView(Protocol):
    """Read access to the folded state, with change notifications."""

    @property
    def control(self) -> ControlState:
        """The fold of the ``control`` stream."""
        ...

    def listen(self, callback: Callable[[ControlEffect], None]) -> None:
        """
        Register a callback for what each record changed.

        It is called after the record is applied, before any task runs.
        """
        ...

    def offset(self, stream: str) -> int:
        """Return the offset of a stream's next record to apply."""
        ...

    async def wait_offset(
        self, stream: str, offset: int, timeout_s: float
    ) -> bool:
        """
        Wait until a stream is folded up to an offset.

        :return: whether it was reached within ``timeout_s``.
        """
        ...
