"""Settings files in the format of the users' platform."""

from __future__ import annotations

_TEMPLATE = """
node-name = "{name}"
new-field = "ignored"
ip-address = "{host}"
zone = "{zone}"
region = "delta"
internal-port-range = [7620,7635]
service = "{service}"
[listen-addresses]
inbound = "{listen}:8300"
outbound = "{listen}:8304"
ready = "{listen}:8302"
control = "{listen}:8306"
[limits]
link-mbps = 1000.0
memory-mb = 200
[bounds]
drain = "2000ms"
grace-period = "6s"
retry-budget-ratio = 0.2
budget-window = "10s"
budget-extra-retries = 60
[platform]
address = "{store}"
"""


def make_settings_text(
    *,
    name: str = "sidecar-tanta-1",
    host: str = "10.1.0.8",
    zone: str = "tanta",
    service: str = "huvo11a",
    store: str = "10.200.1.7:8309",
    listen: str = "",
) -> str:
    """
    Return the text of one instance's settings file.

    :param host: IP address of the instance.
    :param store: address of the platform's store, as ``HOST:PORT``.
    :param listen: IP address to listen on, "" for ``host``.
    """
    return _TEMPLATE.format(
        name=name,
        host=host,
        listen=listen or host,
        zone=zone,
        service=service,
        store=store,
    )
