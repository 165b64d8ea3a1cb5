from __future__ import annotations

import anyio
import pytest

from burdockgap.router.replay_body import ReplayBody
from tests.builders import make_body


@pytest.mark.parametrize(
    ("parts", "whole"),
    [
        pytest.param((), b"", id="empty"),
        pytest.param((b"ab", b"c"), b"abc", id="short"),
        pytest.param((b"a" * 8, b"b"), None, id="long"),
    ],
)
def test_content_is_known_once_the_body_was_read(parts, whole):
    async def run():
        body = ReplayBody(make_body(*parts))
        assert body.content() is None
        await body.peek(8)
        assert body.content() == whole
        assert b"".join([part async for part in body.parts()]) == b"".join(
            parts
        )

    anyio.run(run)


def test_content_is_unknown_once_the_buffer_was_dropped():
    async def run():
        body = ReplayBody(make_body(b"a" * 70_000))
        assert len(b"".join([part async for part in body.parts()])) == 70_000
        assert body.whole
        assert body.content() is None

    anyio.run(run)
