from __future__ import annotations

import re
from pathlib import Path

import pytest
from prometheus_client import generate_latest

from burdockgap.metrics import Metrics

PAGE = Path(__file__).parents[2] / "docs" / "metrics.md"
ROW = re.compile(r"^\| `(\w+)` \| (\w+) \| (.*?) \| (.*) \|$", re.MULTILINE)


@pytest.fixture
def declared():
    """Return name, type, labels and help of every metric."""
    metrics = Metrics()
    rows = []
    for slot in metrics.__slots__:
        if slot == "registry":
            continue
        metric = getattr(metrics, slot)
        (family,) = metric.describe()
        suffix = "_total" if family.type == "counter" else ""
        labels = ", ".join(f"`{name}`" for name in metric._labelnames)
        row = (family.name + suffix, family.type, labels or "-")
        rows.append((*row, family.documentation))
    return rows


def test_page_lists_every_metric(declared):
    assert sorted(ROW.findall(PAGE.read_text())) == sorted(declared)


def test_registries_are_separate():
    one, two = Metrics(), Metrics()
    one.requests.labels("not-run", "no-owner").inc()
    sample = 'burdockgap_requests_total{reason="no-owner",verdict="not-run"}'
    assert f"{sample} 1.0" in generate_latest(one.registry).decode()
    assert sample not in generate_latest(two.registry).decode()


def test_registry_holds_only_declared(declared):
    names = {
        family.name + ("_total" if family.type == "counter" else "")
        for family in Metrics().registry.collect()
    }
    assert names == {row[0] for row in declared}


def test_latency_buckets():
    metrics = Metrics()
    metrics.latency.observe(0.0105)
    below = {
        sample.labels["le"]: sample.value
        for family in metrics.latency.collect()
        for sample in family.samples
        if sample.name.endswith("_bucket")
    }
    assert (below["0.01"], below["0.011"], below["10.0"]) == (0, 1, 1)
