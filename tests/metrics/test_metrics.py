from __future__ import annotations

import importlib
import re
from pathlib import Path

import pytest
from prometheus_client import REGISTRY, generate_latest
from prometheus_client.metrics import MetricWrapperBase

from burdockgap.metrics import Metrics

PAGE = Path(__file__).parents[2] / "docs" / "metrics.md"
ROW = re.compile(r"^\| `(\w+)` \| (\w+) \| (.*?) \| (.*) \|$", re.MULTILINE)


def _row(metric):
    (family,) = metric.describe()
    suffix = "_total" if family.type == "counter" else ""
    labels = ", ".join(f"`{name}`" for name in metric._labelnames)
    row = (family.name + suffix, family.type, labels or "-")
    return (*row, family.documentation)


@pytest.fixture
def declared():
    """Return name, type, labels and help of each declared metric."""
    metrics = Metrics()
    return [
        _row(getattr(metrics, slot))
        for slot in metrics.__slots__
        if slot != "registry"
    ]


@pytest.fixture
def in_default_registry():
    """Return the same for metrics in the default registry."""
    importlib.import_module("burdockgap.daemon.serve")
    collectors = REGISTRY._collector_to_names
    return [
        _row(metric)
        for metric in collectors
        if isinstance(metric, MetricWrapperBase)
    ]


def test_page_lists_every_metric_with_labels(declared, in_default_registry):
    rows = set(ROW.findall(PAGE.read_text()))
    assert {*declared, *in_default_registry} - rows == set()


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
