"""Settings of the section ``[daemon]``."""

from __future__ import annotations


class DaemonSettings:
    """
    Identity of the daemon.

    :param name: unique name of the daemon and its target.
    :param data_centre: the data centre that it runs in.
    :param region: the region of the data centre.
    """

    __slots__ = (
        "data_centre",
        "name",
        "region",
    )

    def __init__(self, *, name: str, data_centre: str, region: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.region = region
