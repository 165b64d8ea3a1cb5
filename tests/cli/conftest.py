from __future__ import annotations

from tests.admin.conftest import backend, guarded_url, metrics, url

__all__ = ["backend", "guarded_url", "metrics", "url"]
