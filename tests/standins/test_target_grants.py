from __future__ import annotations

from standins.target_grants import TargetGrants, boottime


def _granted(*, lease_s=5.0):
    grants = TargetGrants(checks=True)
    ends_at = boottime() + lease_s
    assert grants.apply_grant(session_id=1, epochs={7: 2}, expires_at=ends_at)
    return grants


def test_grant_of_another_session_revokes_nothing():
    grants = _granted()
    ends_at = boottime() + 5.0
    assert grants.apply_grant(session_id=2, epochs={8: 2}, expires_at=ends_at)
    assert grants.apply_grant(session_id=1, epochs=None, expires_at=ends_at)
    assert grants.allows(7, 2)
    assert grants.allows(8, 2)


def test_higher_epoch_of_another_session_fences_the_lower_one():
    grants = _granted()
    ends_at = boottime() + 5.0
    assert grants.apply_grant(session_id=2, epochs={7: 4}, expires_at=ends_at)
    assert not grants.allows(7, 2)
    assert not grants.apply_grant(
        session_id=1, epochs={7: 2}, expires_at=ends_at
    )


def test_grant_expires_with_its_lease():
    grants = _granted(lease_s=-1.0)
    assert not grants.allows(7, 2)
    assert not grants.apply_grant(
        session_id=1, epochs=None, expires_at=boottime() + 5.0
    )
