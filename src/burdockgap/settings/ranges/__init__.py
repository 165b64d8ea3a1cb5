"""The sets of values that a setting may take."""

from __future__ import annotations

from typing import TypeAlias

from burdockgap.settings.ranges.address import Address
from burdockgap.settings.ranges.between import Between
from burdockgap.settings.ranges.name import Name
from burdockgap.settings.ranges.one_of import OneOf
from burdockgap.settings.ranges.text import Text
from burdockgap.settings.ranges.url import Url

Range: TypeAlias = Address | Between | Name | OneOf | Text | Url

__all__ = ["Address", "Between", "Name", "OneOf", "Range", "Text", "Url"]
