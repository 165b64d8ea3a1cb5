"""A snapshot of both folds."""

from __future__ import annotations

from burdockgap.fold.messages.config_snapshot import ConfigSnapshot
from burdockgap.fold.messages.control_snapshot import ControlSnapshot
from burdockgap.wire.message import Message


class FoldSnapshot(Message):
    """
    The states of both folds, each with an offset of its own.

    :param control: the control fold.
    :param config: the configuration fold.
    """

    __slots__ = ("control", "config")
    TAG = 40

    def __init__(
        self, *, control: ControlSnapshot, config: ConfigSnapshot
    ) -> None:
        self.control = control
        self.config = config
