from __future__ import annotations

import sys
from types import ModuleType

from burdockgap.run import main

SETTINGS = """
[daemon]
name = "records-1"
data_centre = "dc1"
region = "r1"
[peer]
secret = "sixteen-letters!"
[log]
url = "http://127.0.0.1:1"
[logging]
level = "error"
"""


def test_daemon_sets_up_logs_then_runs(tmp_path, monkeypatch):
    path = tmp_path / "s.toml"
    path.write_text(SETTINGS)
    calls = []
    serve = ModuleType("burdockgap.daemon.serve")

    def run_daemon(settings):
        calls.append(("run", settings.daemon.name))
        return 7

    serve.run_daemon = run_daemon
    monkeypatch.setitem(
        sys.modules, "burdockgap.daemon", ModuleType("burdockgap.daemon")
    )
    monkeypatch.setitem(sys.modules, "burdockgap.daemon.serve", serve)
    monkeypatch.setattr(
        "burdockgap.logs.set_up_logs",
        lambda logging: calls.append(("logs", logging.level)),
    )
    assert main(["daemon", "--settings", str(path)]) == 7
    assert calls == [("logs", "error"), ("run", "records-1")]
