"""The response body of requests that return no data."""

from __future__ import annotations

from burdockgap.admin.views.view import View


class DoneView(View):
    """An empty object."""

    __slots__ = ()
