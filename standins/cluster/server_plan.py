"""The plan of one server of a site."""

from __future__ import annotations


class ServerPlan:
    """
    A daemon and its target.

    :param name: the daemon's name.
    :param service: the target's service.
    :param data_centre: data centre of the server.
    :param region: region of the server.
    :param slots: maximum number of requests that the target runs at
        once.
    :param target_args: additional arguments of the stand-in target.
    """

    __slots__ = (
        "data_centre",
        "name",
        "region",
        "service",
        "slots",
        "target_args",
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        data_centre: str,
        region: str = "r1",
        slots: int = 6,
        target_args: tuple[str, ...] = (),
    ) -> None:
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.region = region
        self.slots = slots
        self.target_args = target_args


def spread(
    service: str, count: int, data_centres: tuple[str, ...], *, slots: int = 6
) -> list[ServerPlan]:
    """Plan servers of a service, round-robin over data centres."""
    return [
        ServerPlan(
            name=f"{service}-{index + 1}",
            service=service,
            data_centre=data_centres[index % len(data_centres)],
            slots=slots,
        )
        for index in range(count)
    ]
