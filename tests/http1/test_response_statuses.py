"""Responses whose status is none: RFC 9110, section 15."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.encode import encode_request
from burdockgap.http1.exchange_error import ExchangeError
from tests.http1.sockets import open_scripted_server, read_head

pytestmark = pytest.mark.anyio

REQUEST = encode_request("GET", "/", [("host", "h")])
LONGEST_S = 0.5
WITH_BODY = b"HTTP/1.1 %s X\r\ncontent-length: 5\r\n\r\nhello"
WITHOUT_BODY = b"HTTP/1.1 %s X\r\nserver: s\r\n\r\n"
FINAL = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def exchange(responses, *, requests=1, **options):
    """
    Return the last response, or the error, to some requests.

    :param responses: what the server sends, for one request each.
    """
    remaining = iter(responses)

    async def script(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                await read_head(reader)
                writer.write(next(remaining))

    result = None
    async with open_scripted_server(script) as address:
        pool = ClientPool(address[:2], connect_timeout_s=1.0, idle_s=5.0)
        for _ in range(requests):
            try:
                async with asyncio.timeout(LONGEST_S):
                    result = await pool.exchange(REQUEST, **options)
            except ExchangeError as exc:
                result = exc
        pool.close()
    return result


# MIXED: a response with such a status was awaited until the deadline or
# passed on to the caller.
@pytest.mark.parametrize("form", [WITH_BODY, WITHOUT_BODY])
@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
async def test_response_without_a_status_is_an_error(status, form):
    error = await exchange([form % status])
    assert isinstance(error, ExchangeError)
    assert error.sent
    assert f"status {status.decode()}" in str(error)


# MIXED: interim responses have no body, so no final one follows.
@pytest.mark.parametrize("status", [b"100", b"102", b"199"])
async def test_interim_response_with_a_body_is_an_error(status):
    error = await exchange([WITH_BODY % status])
    assert isinstance(error, ExchangeError)
    assert error.sent


@pytest.mark.parametrize("status", [b"20", b"2000", b"-20", b"2e2", b""])
async def test_status_that_is_no_number_of_three_digits(status):
    error = await exchange([WITH_BODY % status])
    assert isinstance(error, ExchangeError)


async def test_response_to_head_without_a_status_is_an_error():
    error = await exchange([WITHOUT_BODY % b"600"], bodiless=True)
    assert isinstance(error, ExchangeError)


@pytest.mark.parametrize("status", [b"100", b"102", b"103", b"199"])
async def test_interim_response_is_skipped(status):
    response = await exchange([WITHOUT_BODY % status + FINAL])
    assert (response.status, response.body) == (200, b"ok")


# MIXED: the next request on the connection must not get the rest.
@pytest.mark.parametrize("form", [WITH_BODY, WITHOUT_BODY])
async def test_next_request_gets_its_own_response(form):
    response = await exchange([FINAL, form % b"000", FINAL], requests=3)
    assert (response.status, response.body) == (200, b"ok")


@settings(max_examples=60, deadline=None)
@given(st.integers(200, 999))
def test_status_is_passed_on_if_it_is_one(status):
    result = asyncio.run(exchange([WITH_BODY % str(status).encode()]))
    if status <= 599:
        assert result.status == status
    else:
        assert isinstance(result, ExchangeError)
