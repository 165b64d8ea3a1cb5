"""The configuration and the servers of the demo."""

from __future__ import annotations

from standins.cluster.server_plan import ServerPlan, spread

DATA_CENTRES = ("delta-1", "delta-2", "delta-3")

DOCUMENT = """\
[services.records]
keyed = true
slices = 64
profile = "lookup"
path_prefix = "/records"

[services.dispatch]
profile = "booking"
path_prefix = "/dispatch"

[profiles.lookup]
idempotent = true
deadline_ms = 4000

[profiles.booking]
idempotent = false
deadline_ms = 4000
"""


def plans() -> list[ServerPlan]:
    """Plan five servers of ``records`` and four of ``dispatch``."""
    return [
        *spread("records", 5, DATA_CENTRES),
        *spread("dispatch", 4, DATA_CENTRES),
    ]
