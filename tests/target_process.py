"""Runs a stand-in target as a separate process."""

from __future__ import annotations

import os
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path

import httpx

from tests.builders import make_target_info

_ROOT = Path(__file__).parents[1]


class TargetProcess:
    def __init__(self, *args: str):
        path = os.pathsep.join([str(_ROOT / "src"), str(_ROOT)])
        self.process = subprocess.Popen(
            [sys.executable, "-m", "standins.target", *args],
            env={**os.environ, "PYTHONPATH": path},
            stdout=subprocess.PIPE,
            text=True,
        )
        self.port = int(self.process.stdout.readline().split()[1])
        self.url = f"http://127.0.0.1:{self.port}"

    def call(self, method, name, **payload):
        url = f"{self.url}/_burdockgap/{name}"
        resp = httpx.request(method, url, json=payload, trust_env=False)
        return resp.raise_for_status().json()

    def fault(self, **faults):
        self.call("POST", "fault", **faults)

    def history(self):
        return self.call("GET", "history")

    def effects(self):
        runs = self.history()["runs"]
        return [run["request_id"] for run in runs if run["took_effect"]]

    def info(self, **fields):
        boot_id = self.call("GET", "status")["boot_id"]
        return make_target_info(url=self.url, boot_id=boot_id, **fields)

    def signal(self, number):
        self.process.send_signal(number)


@contextmanager
def running_target(*args: str):
    target = TargetProcess("--service", "records", *args)
    try:
        yield target
    finally:
        target.process.kill()
        target.process.wait()
        target.process.stdout.close()
