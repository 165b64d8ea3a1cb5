from __future__ import annotations

import re
import tomllib
from pathlib import Path

from burdockgap.settings import parse_settings
from burdockgap.settings.declared import SECTIONS
from burdockgap.settings.render_reference import render_reference

PAGE = Path(__file__).parents[2] / "docs" / "settings.md"


def test_reference_names_every_option_with_its_default():
    text = re.sub(r"(?m)^#(?=\S)", "", render_reference())
    document = tomllib.loads(text)
    assert document == {
        name: {o.key: "" if o.required else o.default for o in options}
        for name, options in SECTIONS.items()
    }


def test_reference_lacks_only_required_options():
    required = {
        option.where
        for options in SECTIONS.values()
        for option in options
        if option.required
    }
    problems = parse_settings(render_reference(), "f").failure()
    assert {problem.where for problem in problems} == required


def test_page_embeds_reference():
    assert f"```toml\n{render_reference()}```\n" in PAGE.read_text()
