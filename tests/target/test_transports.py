from __future__ import annotations

import anyio
import pytest

from burdockgap.target.transports import Transports
from burdockgap.tls.verification import verification


def test_acquire_gives_each_user_another_transport():
    transports = Transports("http://127.0.0.1:1", 2.0)
    with transports.acquire() as first, transports.acquire() as second:
        assert first is not second
    with transports.acquire() as again:
        assert again is first


def test_acquire_after_failure_reuses_transport():
    transports = Transports("http://127.0.0.1:1", 2.0)
    with pytest.raises(ValueError, match="x"), transports.acquire() as first:
        raise ValueError("x")
    with transports.acquire() as again:
        assert again is first


def test_aclose_discards_idle_transports():
    async def run():
        transports = Transports("http://127.0.0.1:1", 2.0)
        with transports.acquire() as first:
            await transports.aclose()
        with transports.acquire() as second:
            assert second is not first

    anyio.run(run)


def test_verification_only_with_tls():
    assert verification("http://log:80") is False
    assert verification("https://log") is verification("https://target")
