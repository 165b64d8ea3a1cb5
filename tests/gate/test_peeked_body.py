from __future__ import annotations

import anyio
import pytest

from burdockgap.gate.peeked_body import PeekedBody
from tests.builders import make_body


@pytest.mark.parametrize("sizes", [(), (3,), (4000, 200, 9), (9000, 1)])
def test_peek_leaves_body_whole(sizes):
    """Reading the start in advance loses no part of the body."""
    parts = [bytes([i]) * size for i, size in enumerate(sizes)]

    async def run():
        body = PeekedBody(make_body(*parts))
        start = await body.peek()
        return start, b"".join([part async for part in body.parts()])

    start, whole = anyio.run(run)
    assert whole == b"".join(parts)
    assert start == whole[:4096]
