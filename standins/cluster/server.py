"""A daemon and its target, each in its own process."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from standins.cluster.launch import Launch
from standins.cluster.process import Process
from standins.relay import Route

if TYPE_CHECKING:
    from pathlib import Path

    from standins.cluster.server_plan import ServerPlan

HTTP_PORT = 8080
PEER_PORT = 7070
ADMIN_PORT = 9090
TARGET_PORT = 6060
TOKEN = "demo-token"
SECRET = "demo-secret-of-sixteen-or-more"

_SETTINGS = """\
[daemon]
name = "{name}"
data_centre = "{data_centre}"
region = "{region}"

[http]
bind = "{ip}:{http}"

[peer]
bind = "{ip}:{peer}"
advertise = "{advertise}"
secret = "{secret}"

[admin]
bind = "{ip}:{admin}"
token = "{token}"

[log]
url = "{log_url}"
{extra}
"""


class Server:
    """
    One server of a site.

    :param plan: its name, place and target.
    :param address: its loopback IP address.
    :param log_url: URL of the log.
    :param folder: directory for the settings file and process output.
    :param extra: additional settings of the daemon, as TOML text.
    :param relay: IP address at which a relay accepts traffic for this
        daemon, "" without a relay.
    :param program: how to launch the daemon, by default from the
        project's tree.
    """

    __slots__ = (
        "daemon",
        "folder",
        "ip",
        "plan",
        "relay",
        "settings",
        "target",
    )

    def __init__(
        self,
        *,
        plan: ServerPlan,
        address: str,
        log_url: str,
        folder: Path,
        extra: str = "",
        relay: str = "",
        program: Launch | None = None,
    ) -> None:
        self.plan = plan
        self.ip = address
        self.relay = relay
        self.folder = folder
        self.settings = folder / f"{plan.name}.toml"
        self.settings.write_text(
            _SETTINGS.format(
                name=plan.name,
                data_centre=plan.data_centre,
                region=plan.region,
                ip=address,
                http=HTTP_PORT,
                peer=PEER_PORT,
                advertise=f"{relay}:{PEER_PORT}" if relay else "",
                admin=ADMIN_PORT,
                secret=SECRET,
                token=TOKEN,
                log_url=log_url,
                extra=extra,
            )
        )
        self.daemon = Process(
            plan.name,
            ["daemon", "--settings", str(self.settings)],
            folder,
            launch=program
            or Launch(command=[sys.executable, "-m", "burdockgap"]),
        )
        self.target = Process(
            f"{plan.name}-target", self._target_args(), folder
        )

    @property
    def name(self) -> str:
        """Return the daemon's name."""
        return self.plan.name

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return f"http://{self.ip}:{HTTP_PORT}"

    @property
    def admin_url(self) -> str:
        """Return the base URL of the administration API."""
        return f"http://{self.ip}:{ADMIN_PORT}"

    @property
    def target_url(self) -> str:
        """Return the base URL of the stand-in target."""
        return f"http://{self.ip}:{TARGET_PORT}"

    @property
    def history_file(self) -> Path:
        """Return the run history file, kept across target restarts."""
        return self.folder / f"{self.name}-history.jsonl"

    def route(self) -> Route:
        """Return the daemon's addresses for a relay."""
        return Route(name=self.name, real=self.ip, advertised=self.relay)

    def start(self) -> None:
        """Start the daemon and the target."""
        self.daemon.start()
        self.target.start()

    def kill(self) -> None:
        """Kill the daemon and the target."""
        self.daemon.kill()
        self.target.kill()

    def _target_args(self) -> list[str]:
        return [
            "-m",
            "standins.target",
            "--service",
            self.plan.service,
            "--announce",
            self.admin_url,
            "--token",
            TOKEN,
            "--host",
            self.ip,
            "--port",
            str(TARGET_PORT),
            "--slots",
            str(self.plan.slots),
            "--history-file",
            str(self.history_file),
            *self.plan.target_args,
        ]
