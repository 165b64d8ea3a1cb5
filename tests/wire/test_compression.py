"""Tests of the compression of messages."""

from __future__ import annotations

import zlib

import pytest

from burdockgap.wire.compression import compress, decompress


@pytest.mark.parametrize("data", [b"", b"a", b"sidecar-tanta-1" * 1000])
def test_data_is_restored(data):
    assert decompress(compress(data)) == data


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(None, id="no-bytes"),
        pytest.param(b"", id="empty"),
        pytest.param(b"\x98\x01", id="not-compressed"),
        pytest.param(zlib.compress(b"a" * 100)[:-3], id="cut-off"),
        pytest.param(zlib.compress(bytes(5 * 1024 * 1024)), id="too-large"),
    ],
)
def test_unusable_data_is_refused(data):
    with pytest.raises(ValueError, match="compressed data"):
        decompress(data)
