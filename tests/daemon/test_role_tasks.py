from __future__ import annotations

from types import SimpleNamespace

import pytest

from burdockgap.daemon.role_tasks import RoleTasks


class Side:
    """A service side whose target has boot id ``new``."""

    def __init__(self) -> None:
        self.current_target = SimpleNamespace(
            info=SimpleNamespace(boot_id="new")
        )
        self.notices = 0

    def target_leaving(self):
        self.notices += 1


@pytest.mark.parametrize(
    ("boot_id", "notices"),
    [
        pytest.param("new", 1, id="of-this-process"),
        pytest.param("old", 0, id="of-an-earlier-process"),
    ],
)
def test_target_leaving(boot_id, notices):
    roles = RoleTasks(SimpleNamespace())
    roles.side = Side()
    roles.target_leaving(boot_id)
    assert roles.side.notices == notices
