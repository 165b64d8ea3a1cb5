"""Start and stop of the daemon process."""

from __future__ import annotations

import shutil
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from standins.cluster import Launch

ROOT = Path(__file__).parents[2]
SETTINGS = """\
[daemon]
name = "records-1"
data_centre = "dc1"
region = "r1"
[http]
bind = "{ip}:18080"
[peer]
bind = "{ip}:17070"
secret = "sixteen-letters!"
[admin]
bind = "{admin}:19090"
token = "{token}"
[log]
url = "http://127.0.0.1:1"
"""


def _start(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    launch = Launch(command=[sys.executable, "-m", "burdockgap"])
    return subprocess.Popen(
        [*launch.command, "daemon", "--settings", str(path)],
        env=launch.env,
        cwd=tmp_path,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def _finish(process):
    try:
        out, _ = process.communicate(timeout=20)
    finally:
        process.kill()
        process.wait()
    return process.returncode, out


@pytest.mark.parametrize(
    ("text", "message"),
    [
        pytest.param("", "daemon.name", id="empty"),
        pytest.param("[daemon\n", "not valid TOML", id="no-toml"),
        pytest.param(
            SETTINGS.format(ip="127.9.1.1", admin="127.9.1.1", token="")
            + "[nonsense]\nx = 1\n",
            "nonsense",
            id="unknown-section",
        ),
        pytest.param(
            SETTINGS.format(ip="127.9.1.1", admin="0.0.0.0", token=""),
            "admin.token",
            id="off-loopback-without-token",
        ),
    ],
)
def test_refuses_bad_settings(tmp_path, text, message):
    code, out = _finish(_start(tmp_path, text))
    assert code == 2
    assert message in out
    assert "Traceback" not in out


def test_missing_file(tmp_path):
    path = tmp_path / "none.toml"
    done = subprocess.run(
        [sys.executable, "-m", "burdockgap", "daemon", "--settings", path],
        env=Launch().env,
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert done.returncode == 2
    assert str(path) in done.stderr
    assert "Traceback" not in done.stderr


def _wait_until_started(process):
    seen = ""
    for line in process.stdout:
        seen += line
        if "started" in line:
            return
    raise AssertionError(seen)


@pytest.mark.parametrize(
    "number", [signal.SIGTERM, signal.SIGINT], ids=lambda n: n.name
)
def test_stops_with_code_0(tmp_path, number):
    text = SETTINGS.format(ip="127.9.1.2", admin="127.9.1.2", token="")
    process = _start(tmp_path, text)
    _wait_until_started(process)
    process.send_signal(number)
    code, out = _finish(process)
    assert code == 0
    assert "stopped" in out
    assert "Traceback" not in out


@pytest.mark.parametrize("option", ["peer.bind", "http.bind"])
def test_address_in_use(tmp_path, option):
    text = SETTINGS.format(ip="127.9.1.3", admin="127.9.1.3", token="")
    first = _start(tmp_path, text)
    if option == "http.bind":
        text = text.replace(":17070", ":17071")
    else:
        text = text.replace(":18080", ":18081").replace(":19090", ":19091")
    try:
        _wait_until_started(first)
        code, out = _finish(_start(tmp_path, text))
    finally:
        first.kill()
        first.communicate()
    assert code == 2
    assert option in out
    assert "Traceback" not in out


def test_console_script_is_installed():
    script = shutil.which("burdockgap", path=str(Path(sys.executable).parent))
    assert script is not None
    done = subprocess.run(
        [script, "--version"], capture_output=True, check=False, timeout=20
    )
    assert done.returncode == 0
