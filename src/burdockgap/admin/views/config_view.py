"""The published configuration."""

from __future__ import annotations

from burdockgap.admin.views.view import View


class ConfigView(View):
    """
    The document in force.

    :param version: version of the configuration.
    :param document: the document as TOML text.
    """

    __slots__ = (
        "version",
        "document",
    )

    def __init__(
        self,
        *,
        version: int,
        document: str,
    ) -> None:
        self.version = version
        self.document = document
