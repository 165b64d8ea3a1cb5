from __future__ import annotations

import pytest

from burdockgap.admin import AdminApp
from burdockgap.metrics import Metrics
from tests.admin.fake_backend import FakeBackend
from tests.admin.server import serve_in_thread

TOKEN = "opensesame"


@pytest.fixture
def backend():
    return FakeBackend()


@pytest.fixture
def metrics():
    return Metrics()


@pytest.fixture
def url(backend, metrics):
    """Serve an API without a token and yield its base URL."""
    with serve_in_thread(AdminApp(backend, metrics, token="")) as url:
        yield url


@pytest.fixture
def guarded_url(backend, metrics):
    """Serve an API that requires a token and yield its base URL."""
    with serve_in_thread(AdminApp(backend, metrics, token=TOKEN)) as url:
        yield url
