from __future__ import annotations

import json
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from burdockgap import __version__
from burdockgap.admin import ChangeOutcome, ChangeVerdict
from burdockgap.cli.exit_code import ExitCode
from burdockgap.records.end_session import EndSession
from burdockgap.records.publish import Publish
from burdockgap.records.set_data_centre import SetDataCentre
from burdockgap.records.set_target import SetTarget
from burdockgap.run import main
from burdockgap.settings.render_reference import render_reference
from tests.admin.conftest import TOKEN

ROOT = Path(__file__).parents[2]
DRAIN = ["target", "drain", "records-1", "--author", "jan"]
ADMIN_ON_ALL = """
[daemon]
name = "records-1"
data_centre = "dc1"
region = "r1"
[peer]
secret = "sixteen-letters!"
[log]
url = "http://127.0.0.1:1"
[admin]
bind = "0.0.0.0:0"
"""


@pytest.fixture
def free_url():
    """Yield the URL of a port on which nothing listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{sock.getsockname()[1]}"


def test_version(capsys):
    assert main(["--version"]) == 0
    assert capsys.readouterr().out == f"burdockgap {__version__}\n"


def test_reference(capsys):
    assert main(["settings", "--reference"]) == 0
    assert capsys.readouterr().out == render_reference()


@pytest.mark.parametrize(
    "argv", [["nonsense"], ["daemon"], ["config", "publish", "f"], []]
)
def test_bad_arguments(argv):
    assert main(argv) == ExitCode.BAD_INPUT


def test_check_good_file(tmp_path):
    path = tmp_path / "s.toml"
    path.write_text(ADMIN_ON_ALL.replace("0.0.0.0", "127.0.0.1"))
    assert main(["check", str(path)]) == ExitCode.OK


def test_check_shows_every_problem(tmp_path, capsys):
    path = tmp_path / "s.toml"
    path.write_text("[peer]\nsecret = 'short'\n[more]\n")
    assert main(["check", str(path)]) == ExitCode.BAD_INPUT
    err = capsys.readouterr().err
    for where in ("daemon.name", "peer.secret", "log.url", "more"):
        assert f"{path}: {where}: " in err


def test_daemon_refuses_open_admin_off_loopback(tmp_path, capsys):
    path = tmp_path / "s.toml"
    path.write_text(ADMIN_ON_ALL)
    code = main(["daemon", "--settings", str(path)])
    assert code == ExitCode.BAD_INPUT
    assert "admin.token: expected a token" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("argv", "change"),
    [
        (["target", "drain", "a"], SetTarget(name="a", draining=True)),
        (["target", "undrain", "a"], SetTarget(name="a", draining=False)),
        (
            ["data-centre", "out", "Olomouc č.1"],
            SetDataCentre(name="Olomouc č.1", out=True),
        ),
        (["data-centre", "in", "d"], SetDataCentre(name="d", out=False)),
        (
            ["session", "end", "00000000000000ff"],
            EndSession(session_id=255),
        ),
    ],
)
def test_change_accepted(url, backend, capsys, argv, change):
    code = main([*argv, "--admin", url, "--author", "jan"])
    assert code == ExitCode.OK
    assert backend.changes == [(change, "jan", None)]
    assert capsys.readouterr().out == "accepted: version 8\n"


def test_config_publish(url, backend, tmp_path, monkeypatch):
    monkeypatch.setenv("LOGNAME", "alena")
    path = tmp_path / "c.toml"
    path.write_text("x = 'č'\n", encoding="utf-8")
    argv = ["config", "publish", str(path), "--against", "7"]
    assert main([*argv, "--admin", url]) == ExitCode.OK
    change = Publish(document="x = 'č'\n")
    assert backend.changes == [(change, "alena", 7)]


def test_config_publish_missing_file(url, backend):
    argv = ["config", "publish", "/nonexistent", "--against", "7"]
    assert main([*argv, "--admin", url]) == ExitCode.BAD_INPUT
    assert backend.changes == []


@pytest.mark.parametrize(
    ("verdict", "code"),
    [
        (ChangeVerdict.REJECTED, ExitCode.REJECTED),
        (ChangeVerdict.INVALID, ExitCode.BAD_INPUT),
        (ChangeVerdict.NOT_FOUND, ExitCode.NOT_FOUND),
        (ChangeVerdict.LOG_UNAVAILABLE, ExitCode.UNREACHABLE),
        (ChangeVerdict.UNKNOWN, ExitCode.OUTCOME_UNKNOWN),
    ],
)
def test_change_exit_code(url, backend, capsys, verdict, code):
    backend.outcome = ChangeOutcome(verdict=verdict, version=9, reason="why")
    assert main([*DRAIN, "--admin", url]) == code
    err = capsys.readouterr().err
    assert f"{verdict.value}: why (current version: 9)" in err


def test_change_unreachable(free_url):
    assert main([*DRAIN, "--admin", free_url]) == ExitCode.UNREACHABLE


@pytest.mark.parametrize("admin", ["127.0.0.1:9090", "http://[", "x://y"])
def test_change_bad_url(admin):
    assert main([*DRAIN, "--admin", admin]) == ExitCode.BAD_INPUT


def test_change_bad_token(url):
    argv = [*DRAIN, "--admin", url, "--token", "a\nb"]
    assert main(argv) == ExitCode.BAD_INPUT


def test_change_without_answer(url, backend):
    backend.delay_s = 1.0
    argv = [*DRAIN, "--admin", url, "--timeout", "0.1"]
    assert main(argv) == ExitCode.OUTCOME_UNKNOWN


def test_change_answered_with_internal_error(url, backend):
    backend.error = RuntimeError("broken")
    assert main([*DRAIN, "--admin", url]) == ExitCode.OUTCOME_UNKNOWN


def test_status_without_answer(url, backend):
    backend.delay_s = 1.0
    argv = ["status", "--admin", url, "--timeout", "0.1"]
    assert main(argv) == ExitCode.UNREACHABLE


def test_token_missing_then_given(guarded_url, monkeypatch):
    argv = ["status", "--admin", guarded_url]
    monkeypatch.delenv("BURDOCKGAP_TOKEN", raising=False)
    assert main(argv) == ExitCode.NOT_AUTHORISED
    assert main([*argv, "--token", TOKEN]) == ExitCode.OK
    monkeypatch.setenv("BURDOCKGAP_TOKEN", TOKEN)
    assert main(argv) == ExitCode.OK


def test_owner_of_unknown_service(url):
    argv = ["owner", "nonsense", "key", "--admin", url]
    assert main(argv) == ExitCode.NOT_FOUND


def test_owner_as_json(url, capsys):
    argv = ["owner", "records", "a&b=č", "--admin", url, "--json"]
    assert main(argv) == ExitCode.OK
    answer = json.loads(capsys.readouterr().out)
    assert answer["key"] == "a&b=č"
    assert answer["daemon"] == "records-2"


def test_status_as_text(url, capsys):
    assert main(["status", "--admin", url]) == ExitCode.OK
    lines = capsys.readouterr().out.splitlines()
    assert "config_version: 7" in lines
    assert "  dc1   no   4" in lines
    assert lines[-2:] == ["daemons:", "  none"]


def test_audit_limit(url, capsys):
    argv = ["audit", "--admin", url, "--json"]
    assert main([*argv, "--limit", "1"]) == ExitCode.OK
    assert len(json.loads(capsys.readouterr().out)["items"]) == 1
    assert main([*argv, "--limit", "0"]) == ExitCode.BAD_INPUT


def test_config_show_can_be_published_again(url, capsys):
    assert main(["config", "show", "--admin", url]) == ExitCode.OK
    assert capsys.readouterr().out == "# version 7\n[profiles]\n"


def test_check_imports_no_network_libraries(tmp_path):
    code = (
        "import sys; from burdockgap.run import main; "
        "main(['check', 'none']); "
        "print(sorted({'httpx', 'hypercorn', 'grpclib', 'loguru', "
        "'prometheus_client', 'anyio'} & set(sys.modules)))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        cwd=tmp_path,
        env={"PYTHONPATH": f"{ROOT / 'src'}"},
        capture_output=True,
        text=True,
        check=True,
        timeout=30,
    )
    assert done.stdout == "[]\n"
