"""The commented reference file, generated from the declaration."""

from __future__ import annotations

import json
import textwrap
from typing import TYPE_CHECKING

from burdockgap.settings.declared import SECTIONS
from burdockgap.settings.describe_option import describe_option

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burdockgap.settings.option import Option

_COLUMNS = 72


def render_reference() -> str:
    """
    Return a TOML file with every option.

    Options with a default are commented out; required ones are empty
    and must be filled in before the file is accepted.
    """
    return "\n".join(_lines())


def _lines() -> Iterator[str]:
    """Generate the lines of the file."""
    for name, options in SECTIONS.items():
        yield f"[{name}]"
        for option in options:
            yield from _comment(option.help)
            yield from _comment(f"Expected: {describe_option(option)}.")
            yield _assignment(option)
            yield ""


def _comment(text: str) -> list[str]:
    """Wrap a text into comment lines."""
    return textwrap.wrap(
        text, _COLUMNS, initial_indent="# ", subsequent_indent="# "
    )


def _assignment(option: Option) -> str:
    """Return the line that sets an option."""
    if option.required:
        return f'{option.key} = ""  # required'
    return f"#{option.key} = {json.dumps(option.default)}"
