"""
Closed-loop HTTP load generator: ``python -m measure.generator``.

Each connection has one request in flight.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import time

from hdrh.histogram import HdrHistogram

from measure.sites import SERVICE

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_LENGTH_HEADER = b"content-length:"
_BODY = b'{"amount": 12}'


class _Connection(asyncio.Protocol):
    """Sends the next request once the previous one is answered."""

    def __init__(self, load: _Load) -> None:
        self._load = load
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._sent_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if isinstance(transport, asyncio.Transport):
            self._transport = transport
            self._send()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        head, separator, body = self._buffer.partition(b"\r\n\r\n")
        if not separator or len(body) < _content_length(head):
            return
        self._buffer = b""
        self._load.record_answer(self._sent_at, head)
        self._send()

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._load.lost += 1

    def _send(self) -> None:
        if self._transport is None or self._load.is_over():
            return
        self._sent_at = time.monotonic()
        self._transport.write(self._load.next_request())


class _Load:
    """Requests to send, and results over all connections."""

    def __init__(self, keys: list[str], seed: int, seconds: float) -> None:
        self.histogram = HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
        )
        self.failed = 0
        self.lost = 0
        self._rng = random.Random(seed)
        self._requests = [_encode_request(key) for key in keys]
        self._ends_at = time.monotonic() + seconds

    def is_over(self) -> bool:
        return time.monotonic() >= self._ends_at

    def next_request(self) -> bytes:
        return self._rng.choice(self._requests)

    def record_answer(self, sent_at: float, head: bytes) -> None:
        if b" 200 " not in head.partition(b"\r\n")[0]:
            self.failed += 1
            return
        elapsed_s = time.monotonic() - sent_at
        self.histogram.record_value(int(elapsed_s * _US_PER_S))


def _content_length(head: bytes) -> int:
    lowered = head.lower()
    start = lowered.find(_LENGTH_HEADER)
    if start < 0:
        return 0
    return int(lowered[start + len(_LENGTH_HEADER) :].split(b"\r\n", 1)[0])


def _encode_request(key: str) -> bytes:
    head = (
        f"POST /{SERVICE}/balance HTTP/1.1\r\nhost: a\r\n"
        f"burdockgap-key: {key}\r\nuser-agent: generator\r\n"
        f"accept: */*\r\ncontent-type: application/json\r\n"
        f"content-length: {len(_BODY)}\r\n\r\n"
    )
    return head.encode() + _BODY


async def _run(args: argparse.Namespace) -> _Load:
    load = _Load(args.keys, args.seed, args.seconds)
    loop = asyncio.get_running_loop()
    for _ in range(args.connections):
        await loop.create_connection(
            lambda: _Connection(load), args.host, args.port
        )
    await asyncio.sleep(args.seconds)
    return load


def main() -> None:
    """Send requests; print counts and latencies as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("keys", nargs="+")
    load = asyncio.run(_run(parser.parse_args()))
    histogram = load.histogram
    results = {
        "answered": histogram.get_total_count(),
        "failed": load.failed,
        "lost": load.lost,
        "p50_us": histogram.get_value_at_percentile(50),
        "p99_us": histogram.get_value_at_percentile(99),
        "p999_us": histogram.get_value_at_percentile(99.9),
    }
    print(json.dumps(results))


if __name__ == "__main__":
    main()
