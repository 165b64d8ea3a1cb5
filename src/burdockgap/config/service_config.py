"""A service of the configuration document."""

from __future__ import annotations


class ServiceConfig:
    """
    One service; see ``SERVICE_FIELDS`` for ranges and defaults.

    :param name: the service's name.
    :param keyed: whether each key has one owner.
    :param slices: number of slices, 0 for an unkeyed service.
    :param profile: name of its profile.
    :param path_prefix: request paths that belong to it, "" for none.
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
