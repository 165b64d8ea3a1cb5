"""The limit on callers' connections by the process's descriptors."""

from __future__ import annotations

_FILES = 200
"""Set aside for files, listening sockets and event loop."""
_OWN_SHARE = 0.4
"""Share of the others for connections to and from other daemons, to
the server and to the store: 1,560 of 4,100, for 2 to each of 730
machines."""
_MIN_CALLERS = 16


class DescriptorLimit:
    """
    Bounds the connections of callers.

    :param descriptors: descriptors that the process may have open.
    :ivar connections: callers' connections that may be open at once.
    """

    __slots__ = ("connections",)

    def __init__(self, descriptors: int) -> None:
        others = int((descriptors - _FILES) * (1 - _OWN_SHARE))
        self.connections = max(others, _MIN_CALLERS)
