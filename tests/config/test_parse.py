from __future__ import annotations

import math

import pytest
from returns.pipeline import is_successful

from burdockgap.config import Profile, check_change, parse_document
from burdockgap.config.fields import PROFILE_FIELDS, SERVICE_FIELDS

DOCUMENT = """
[services.records]
keyed = true
slices = 16
profile = "quick"
path_prefix = "/records"
[services.library]
[profiles.quick]
idempotent = true
deadline_ms = 800
retry_budget = 1
"""


def problem_keys(text):
    return [problem.key for problem in parse_document(text).failure()]


def test_parse_document_values_and_defaults():
    document = parse_document(DOCUMENT).unwrap()
    records = document.services["records"]
    assert (records.keyed, records.slices) == (True, 16)
    assert document.profile_of("records").deadline_ms == 800
    assert document.profile_of("records").retry_budget == 1
    assert document.profile_of("records").attempts == 3
    assert document.services["library"].slices == 0
    assert document.profile_of("library").deadline_ms == 5000
    assert document.profile_of("unknown").name == "default"


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        pytest.param("/records", "records", id="whole"),
        pytest.param("/records/7", "records", id="below"),
        pytest.param("/records-old", None, id="longer-name"),
        pytest.param("/", None, id="outside"),
    ],
)
def test_service_of_path(path, expected):
    found = parse_document(DOCUMENT).unwrap().service_of_path(path)
    assert (found.name if found else None) == expected


def test_parse_document_reports_all_problems():
    text = """
    extra = 1
    [services.records]
    keyed = "yes"
    slices = 12
    colour = "red"
    path_prefix = "/a"
    [services.dispatch]
    slices = 8
    profile = "missing"
    path_prefix = "/a"
    [services.Bad]
    [services]
    alerts = 3
    [profiles.quick]
    attempts = true
    retry_budget = 1.5
    """
    text = text.replace("[services]\n    alerts = 3\n", "")
    assert sorted(problem_keys(text)) == [
        "extra",
        "profiles.quick.attempts",
        "profiles.quick.retry_budget",
        "services.Bad",
        "services.dispatch.path_prefix",
        "services.dispatch.profile",
        "services.dispatch.slices",
        "services.records.colour",
        "services.records.keyed",
        "services.records.slices",
    ]


@pytest.mark.parametrize(
    ("text", "key"),
    [
        pytest.param("a = ", "", id="not-toml"),
        pytest.param("a = " + "[" * 5000, "", id="deep"),
        pytest.param("#" * 70_000, "", id="too-large"),
        pytest.param("services = 3", "services", id="no-table"),
        pytest.param("services.a = 3", "services.a", id="no-service"),
    ],
)
def test_parse_document_unusable(text, key):
    assert problem_keys(text) == [key]


def bad_values(field):
    if field.kind is bool:
        return ["1", '"true"']
    if field.kind is str:
        return ["1", '"Not this"']
    wrong = ["true", '"1"', "nan", str(field.lowest - 1)]
    return [*wrong, str(int(field.highest) + 1)]


@pytest.mark.parametrize(
    ("section", "name", "value"),
    [
        pytest.param(section, field.name, value, id=f"{field.name}-{value}")
        for section, fields in (
            ("services", SERVICE_FIELDS),
            ("profiles", PROFILE_FIELDS),
        )
        for field in fields
        for value in bad_values(field)
    ],
)
def test_parse_document_bad_value(section, name, value):
    text = f"[{section}.a]\n{name} = {value}\n"
    if name == "slices":
        text += "keyed = true\n"
    assert problem_keys(text) == [f"{section}.a.{name}"]


def test_profile_default_is_declared():
    profile = Profile.default()
    for field in PROFILE_FIELDS:
        value = getattr(profile, field.name)
        assert field.accepts(value)
        assert not math.isnan(value)


@pytest.mark.parametrize(
    ("text", "keys"),
    [
        pytest.param("keyed = true\nslices = 16", [], id="same"),
        pytest.param(
            "keyed = true\nslices = 32", ["services.a.slices"], id="slices"
        ),
        pytest.param("keyed = false", ["services.a.keyed"], id="keyed"),
    ],
)
def test_check_change(text, keys):
    old = parse_document("[services.a]\nkeyed = true\nslices = 16")
    new = parse_document(f"[services.a]\n{text}")
    assert is_successful(old)
    problems = check_change(old.unwrap(), new.unwrap())
    assert [problem.key for problem in problems] == keys
