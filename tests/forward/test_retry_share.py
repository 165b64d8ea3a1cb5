"""A daemon's share of the retry budget."""

from __future__ import annotations

from burdockgap.forward.retry_share import RetryShare


def test_spend_share_of_requests_and_extra():
    share = RetryShare(ratio=0.1, extra=30, window_s=10.0)
    for _ in range(50):
        share.note_request(1.0)
    spent = 0
    while share.spend(1.0, daemons=10):
        spent += 1
    assert spent == 8


def test_spend_window_slides():
    share = RetryShare(ratio=0.0, extra=2, window_s=10.0)
    assert share.spend(0.0, daemons=1)
    assert share.spend(5.0, daemons=1)
    assert not share.spend(9.9, daemons=1)
    assert share.spend(10.1, daemons=1)
    assert not share.spend(14.9, daemons=1)
