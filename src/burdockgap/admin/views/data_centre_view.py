"""One data centre."""

from __future__ import annotations

from burdockgap.admin.views.view import View


class DataCentreView(View):
    """
    A data centre and whether it is in service.

    :param name: its name.
    :param out: whether it is out of service.
    :param daemons: number of daemons in it.
    """

    __slots__ = (
        "name",
        "out",
        "daemons",
    )

    def __init__(
        self,
        *,
        name: str,
        out: bool,
        daemons: int,
    ) -> None:
        self.name = name
        self.out = out
        self.daemons = daemons
