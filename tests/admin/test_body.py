from __future__ import annotations

import anyio
import pytest

from burdockgap.admin.api_error import ApiError
from burdockgap.admin.body import read_body


def read(events):
    remaining = list(events)

    async def receive():
        return remaining.pop(0)

    return anyio.run(read_body, receive)


def test_body_in_parts():
    first = {"type": "http.request", "body": b"a", "more_body": True}
    assert read([first, {"type": "http.request", "body": b"b"}]) == b"ab"


def test_body_that_ends_early():
    first = {"type": "http.request", "body": b"{}", "more_body": True}
    with pytest.raises(ApiError) as caught:
        read([first, {"type": "http.disconnect"}])
    assert caught.value.status == 400
