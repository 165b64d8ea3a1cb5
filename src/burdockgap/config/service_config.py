"""A service of the configuration document."""

from __future__ import annotations


class ServiceConfig:
    """
    Holds the settings of one service.

    ``SERVICE_FIELDS`` declares their ranges and defaults.

    :param name: name of the service.
    :param keyed: whether each key has at most one owner at a time.
    :param slices: number of slices; stored as 0 if not keyed.
    :param profile: name of the service's profile.
    :param path_prefix: prefix of the service's paths, "" for none.
    """

    __slots__ = ("keyed", "name", "path_prefix", "profile", "slices")

    def __init__(
        self,
        *,
        name: str,
        keyed: bool,
        slices: int,
        profile: str,
        path_prefix: str,
    ) -> None:
        self.name = name
        self.keyed = keyed
        self.slices = slices if keyed else 0
        self.profile = profile
        self.path_prefix = path_prefix
