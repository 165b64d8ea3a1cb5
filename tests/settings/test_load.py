from __future__ import annotations

import pytest
from returns.result import Failure, Success

from burdockgap.settings import load_settings, parse_settings
from burdockgap.settings.declared import SECTIONS
from tests.builders import make_settings

GOOD = """
[daemon]
name = "records-1"
data_centre = "dc1"
region = "r1"
[peer]
secret = "sixteen-letters!"
[log]
url = "http://127.0.0.1:1"
"""


def problems_of(text):
    result = parse_settings(text, "file.toml")
    assert isinstance(result, Failure)
    return result.failure()


def test_load_good_file(tmp_path):
    path = tmp_path / "good.toml"
    path.write_text(GOOD + "timeout_s = 3\n")
    settings = load_settings(path).unwrap()
    assert settings.daemon.name == "records-1"
    assert settings.http.bind == "127.0.0.1:8080"
    assert settings.log.timeout_s == 3.0
    assert isinstance(settings.log.timeout_s, float)


def test_load_missing_file(tmp_path):
    path = tmp_path / "none.toml"
    problems = load_settings(path).failure()
    assert [str(p) for p in problems] == [
        f"{path}: cannot be read: No such file or directory"
    ]


def test_parse_broken_toml():
    assert "not valid TOML" in str(problems_of("[daemon\n")[0])


def test_parse_reports_all_problems_at_once():
    text = """
    nonsense = 1
    peer = 3
    [daemon]
    name = "a b"
    data_centre = 4
    colour = "red"
    [lease]
    witnesses = true
    duration_s = inf
    margin_s = nan
    [log]
    url = "ftp://127.0.0.1"
    timeout_s = "2"
    [admin]
    bind = "0.0.0.0:9090"
    """
    problems = problems_of(text)
    assert [p.where for p in problems] == [
        "admin.token",
        "daemon.colour",
        "daemon.data_centre",
        "daemon.name",
        "daemon.region",
        "lease.duration_s",
        "lease.margin_s",
        "lease.witnesses",
        "log.timeout_s",
        "log.url",
        "nonsense",
        "peer",
        "peer.secret",
    ]
    shown = {p.where: str(p) for p in problems}
    assert shown["log.timeout_s"] == (
        "file.toml: log.timeout_s: expected a number (seconds): "
        "0.05 to 60; found '2'"
    )


def test_parse_does_not_show_secret():
    text = GOOD.replace("sixteen-letters!", "hunter2")
    (problem,) = problems_of(text)
    assert "hunter2" not in str(problem)
    assert "found text of 7 characters" in str(problem)


@pytest.mark.parametrize(
    ("lines", "where"),
    [
        ('[admin]\nbind = "10.0.0.1:9090"', "admin.token"),
        ('[admin]\nbind = "[::]:9090"', "admin.token"),
        ('[http]\nbind = "0.0.0.0:80"', "http.advertise"),
        ('[http]\nbind = "localhost:80"', "http.bind"),
        ('[http]\nadvertise = "10.0.0.1:0"', "http.advertise"),
        ("[lease]\nrenew_s = 0.5", "lease.renew_s"),
        ("[lease]\nmargin_s = 1.2", "lease.margin_s"),
    ],
)
def test_parse_rule(lines, where):
    assert [p.where for p in problems_of(GOOD + lines)] == [where]


@pytest.mark.parametrize(
    "lines",
    [
        '[admin]\nbind = "10.0.0.1:9090"\ntoken = "t"',
        '[admin]\nbind = "[::1]:9090"',
        '[http]\nbind = "0.0.0.0:80"\nadvertise = "10.0.0.1:80"',
        "[lease]\nrenew_s = 0.4",
    ],
)
def test_parse_rule_kept(lines):
    assert isinstance(parse_settings(GOOD + lines, "f"), Success)


def test_sections_hold_declared_options():
    settings = make_settings()
    assert sorted(settings.__slots__) == sorted(SECTIONS)
    for name, options in SECTIONS.items():
        section = getattr(settings, name)
        keys = sorted(option.key for option in options)
        assert sorted(section.__slots__) == keys
        assert {option.section for option in options} == {name}
