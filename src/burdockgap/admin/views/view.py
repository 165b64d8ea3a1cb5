"""The base class of response bodies and their parts."""

from __future__ import annotations

from typing import ClassVar


class View:
    """An object whose slots become members of a JSON object."""

    __slots__: ClassVar[tuple[str, ...]] = ()
