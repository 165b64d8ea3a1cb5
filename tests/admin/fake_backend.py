from __future__ import annotations

import anyio

from burdockgap.admin import ChangeOutcome, ChangeVerdict
from burdockgap.admin.views import (
    AuditView,
    ConfigView,
    DataCentreView,
    OwnerView,
    StatusView,
)


class FakeBackend:
    """Returns fixed views and records the calls that change state."""

    def __init__(self):
        self.reason = ""
        self.outcome = ChangeOutcome(verdict=ChangeVerdict.ACCEPTED, version=8)
        self.error = None
        self.delay_s = 0.0
        self.changes = []
        self.infos = []
        self.leaving_calls = 0

    def readiness(self):
        return self.reason

    async def status(self):
        await anyio.sleep(self.delay_s)
        return StatusView(
            name="records-1",
            data_centre="dc1",
            region="r1",
            program_version="0.1.0",
            ready=True,
            reason="",
            log_reachable=True,
            config_version=7,
            config_offset=9,
            control_offset=11,
            term=2,
            coordinator="",
            target=None,
            data_centres=[DataCentreView(name="dc1", out=False, daemons=4)],
            daemons=[],
        )

    async def owner(self, service, key):
        if service != "records":
            return None
        return OwnerView(
            service=service,
            key=key,
            slice_index=3,
            pinned=False,
            epoch=4,
            session_id="",
            daemon="records-2",
            peer_address="",
            http_address="",
            successor="",
        )

    async def audit(self, limit):
        view = AuditView(
            stream="config",
            offset=5,
            at=1.0,
            author="jan",
            against=6,
            change="data centre dc1 out",
            count=1,
            accepted=True,
            decision="accepted",
        )
        return [view] * min(limit, 2)

    async def config(self):
        return ConfigView(version=7, document="[profiles]\n")

    async def change(self, change, *, author, against):
        await anyio.sleep(self.delay_s)
        if self.error is not None:
            raise self.error
        self.changes.append((change, author, against))
        return self.outcome

    async def announce(self, info):
        self.infos.append(info)

    async def leaving(self, _boot_id):
        self.leaving_calls += 1
