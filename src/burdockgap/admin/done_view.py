"""The body of an answer that has nothing to show."""

from __future__ import annotations

from burdockgap.admin.views.view import View


class DoneView(View):
    """An empty object."""

    __slots__ = ()
