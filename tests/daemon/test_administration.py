"""The commands of ``docs/administration.md`` against a running site."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
import time

import pytest

from demo.site import DOCUMENT
from standins.cluster import Launch
from standins.cluster.server import TOKEN

LAUNCH = Launch(command=[sys.executable, "-m", "burdockgap"])
UNITS_TIMEOUT_S = 8


@pytest.fixture
def cli(server):
    """Return a function that runs a command."""

    def run(*args: str, token: str = TOKEN, admin: str = server.admin_url):
        done = subprocess.run(
            [*LAUNCH.command, *args, "--admin", admin, "--token", token],
            env=LAUNCH.env,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        assert "Traceback" not in done.stderr
        return done.returncode, done.stdout + done.stderr

    return run


@pytest.fixture
def answer(cli):
    """Return a function that runs a command and parses its JSON."""

    def run(*args: str):
        code, text = cli(*args, "--json")
        assert code == 0, text
        return json.loads(text)

    return run


@pytest.fixture
def version(answer):
    return lambda: str(answer("config", "show")["version"])


@pytest.fixture
def document(tmp_path):
    path = tmp_path / "config.toml"
    path.write_text(DOCUMENT)
    return path


def _daemon(status, name):
    (found,) = [each for each in status["daemons"] if each["name"] == name]
    return found


def _wait_for_units(answer, name, *, some):
    deadline = time.monotonic() + UNITS_TIMEOUT_S
    while time.monotonic() < deadline:
        status = answer("status")
        entries = [d for d in status["daemons"] if d["name"] == name]
        if any(entry["units"] for entry in entries) == some:
            return status
        time.sleep(0.2)
    raise AssertionError(status)


def test_status_and_config_show(cli, answer):
    code, text = cli("status")
    assert code == 0
    assert "records-1" in text
    status = answer("status")
    assert (status["ready"], status["log_reachable"]) == (True, True)
    code, text = cli("config", "show")
    assert code == 0
    assert text.startswith("# version ")
    assert "[services.records]" in text


def test_publish(cli, version, document):
    before = version()
    publish = ("config", "publish", str(document), "--against")
    assert cli(*publish, before)[0] == 0
    assert version() == str(int(before) + 1)
    code, text = cli(*publish, before)
    assert code == 1
    assert f"the current version is {version()}" in text


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("nonsense", id="no-toml"),
        pytest.param("[services.records]\nkeyd = true", id="unknown-key"),
        pytest.param(
            DOCUMENT.replace("slices = 64", "slices = 128"), id="slices"
        ),
    ],
)
def test_publish_of_an_invalid_document(cli, version, document, text):
    before = version()
    document.write_text(text)
    code, _ = cli("config", "publish", str(document), "--against", before)
    assert code == 2
    assert version() == before


def test_data_centre_out_and_in(cli, answer):
    assert cli("data-centre", "out", "dc2")[0] == 0
    status = _wait_for_units(answer, "records-2", some=False)
    out = {each["name"]: each["out"] for each in status["data_centres"]}
    assert out == {"dc1": False, "dc2": True, "dc3": False}
    assert cli("data-centre", "in", "dc2")[0] == 0
    _wait_for_units(answer, "records-2", some=True)


def test_target_drain_and_undrain(cli, answer):
    assert cli("target", "drain", "records-3")[0] == 0
    status = _wait_for_units(answer, "records-3", some=False)
    assert _daemon(status, "records-3")["draining"]
    assert cli("target", "undrain", "records-3")[0] == 0
    status = _wait_for_units(answer, "records-3", some=True)
    assert not _daemon(status, "records-3")["draining"]


def test_owner(cli, answer):
    found = answer("owner", "records", "pump-1")
    assert found["daemon"].startswith("records-")
    assert found["epoch"] > 0
    assert cli("owner", "nothing", "pump-1")[0] == 5


def test_audit(cli, answer, version, document):
    publish = ("config", "publish", str(document), "--against", version())
    assert cli(*publish, "--author", "jana")[0] == 0
    assert cli("audit", "--limit", "5")[0] == 0
    newest = answer("audit", "--limit", "1")["items"]
    assert [(each["author"], each["accepted"]) for each in newest] == [
        ("jana", True)
    ]


def test_session_end_of_unknown_and_malformed_ids(cli, answer):
    known = answer("status")["daemons"][0]["session_id"]
    unknown = ("0" if known[0] != "0" else "1") + known[1:]
    assert cli("session", "end", unknown)[0] == 5
    assert cli("session", "end", "nonsense")[0] == 2


@pytest.mark.parametrize(
    "args",
    [
        ("status",),
        ("data-centre", "out", "dc1"),
        ("target", "drain", "records-1"),
        ("session", "end", "0000000000000001"),
    ],
    ids=" ".join,
)
def test_wrong_token(cli, answer, args):
    assert cli(*args, token="wrong")[0] == 4
    assert not any(each["out"] for each in answer("status")["data_centres"])


def test_unreachable(cli):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{sock.getsockname()[1]}"
        assert cli("status", admin=url)[0] == 3
        assert cli("data-centre", "out", "dc1", admin=url)[0] == 3
