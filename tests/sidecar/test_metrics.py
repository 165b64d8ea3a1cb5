"""The documented metrics against those that a daemon exposes."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from prometheus_client.parser import text_string_to_metric_families

from tests.sidecar.builders import open_site

pytestmark = pytest.mark.anyio

PAGE = Path(__file__).parents[2] / "docs" / "metrics-sidecar.md"
TABLE_ROW = re.compile(
    r"^\| `(\w+)` \| (\w+) \| .*? \| (.*) \|$", re.MULTILINE
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_page_lists_the_exposed_metrics():
    async with open_site("dispatch") as site:
        await site.wait_until_ready()
        await site.machines[0].ask("/book/1", method="POST")
        text = site.machines[0].node.metrics.expose().decode()
    families = [
        family
        for family in text_string_to_metric_families(text)
        if not family.name.endswith("_created")
    ]
    exposed = {
        (family.name, family.type, family.documentation) for family in families
    }
    documented = {
        (name.removesuffix("_total"), kind, meaning)
        for name, kind, meaning in TABLE_ROW.findall(PAGE.read_text())
    }
    assert documented == exposed
    values = {
        sample.name: sample.value
        for family in families
        for sample in family.samples
    }
    assert values["burdockgap_sidecar_requests_total"] == 1
    assert values["burdockgap_sidecar_target_seconds_count"] == 1
