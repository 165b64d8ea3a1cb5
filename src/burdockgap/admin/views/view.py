"""The base class of what the API shows."""

from __future__ import annotations

from typing import ClassVar


class View:
    """A slotted value whose slots become members of a JSON object."""

    __slots__: ClassVar[tuple[str, ...]] = ()
