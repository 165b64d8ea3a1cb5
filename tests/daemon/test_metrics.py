from __future__ import annotations

import re
from pathlib import Path

import httpx
import pytest
from prometheus_client.parser import text_string_to_metric_families

PAGE = Path(__file__).parents[2] / "docs" / "metrics.md"
ROW = re.compile(r"^\| `(\w+)` \| (\w+) \| (.*?) \| (.*) \|$", re.MULTILINE)


def _families(server):
    text = httpx.get(f"{server.admin_url}/metrics").text
    return list(text_string_to_metric_families(text))


def _values(families, name):
    return [
        sample.value
        for family in families
        for sample in family.samples
        if sample.name == name
    ]


@pytest.fixture
def families(server):
    return _families(server)


def _labels(family):
    found = {name for sample in family.samples for name in sample.labels}
    return found - {"le"}


def test_page_lists_what_a_daemon_shows(families):
    rows = ROW.findall(PAGE.read_text())
    shown = {
        (family.name, family.type, family.documentation) for family in families
    }
    listed = {
        (name.removesuffix("_total"), kind, text)
        for name, kind, _labels, text in rows
    }
    assert listed == shown


def test_page_lists_labels(families):
    rows = ROW.findall(PAGE.read_text())
    listed = {
        name.removesuffix("_total"): set(re.findall(r"`(\w+)`", labels))
        for name, _kind, labels, _text in rows
    }
    wrong = {
        family.name: _labels(family)
        for family in families
        if family.samples and _labels(family) != listed[family.name]
    }
    assert wrong == {}


@pytest.mark.parametrize(
    ("name", "least", "most"),
    [
        ("burdockgap_lease_left_seconds", 0.1, 1.2),
        ("burdockgap_log_reachable", 1, 1),
        ("burdockgap_log_silent_seconds", 0, 30),
        ("burdockgap_coordinator_known", 1, 1),
        ("burdockgap_sessions", 4, 9),
        ("burdockgap_own_sessions", 1, 2),
        ("burdockgap_units_owned", 1, 64),
        ("burdockgap_in_flight_limit", 1, 6),
        ("burdockgap_config_version", 1, 99),
        ("burdockgap_target_announced", 1, 1),
        ("burdockgap_target_progressing", 1, 1),
        ("burdockgap_ownership_activations_total", 1, 9999),
    ],
)
def test_state_is_shown(families, name, least, most):
    values = _values(families, name)
    assert values
    assert all(least <= value <= most for value in values), values


def test_queue_wait_is_shown_where_the_target_worked(site):
    name = "burdockgap_gate_queue_wait_seconds_count"
    counts = [
        value
        for server in site.servers.values()
        for value in _values(_families(server), name)
    ]
    assert sum(counts) >= 1
