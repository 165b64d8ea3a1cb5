"""A caller's request in the form that the router handles."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.config.profile import Profile
    from burdockgap.router.replay_body import ReplayBody


class RouteRequest:
    """
    One request of a caller.

    :param request_id: id chosen by the caller, or a random one.
    :param resendable: whether the caller chose the id and can therefore
        resend the request under the same id.
    :param service: the service.
    :param method: HTTP method.
    :param path: path with the query string.
    :param headers: header names and values.
    :param body: the body, which later attempts may read again.
    :param key_hash: hash of the key, ``None`` for unkeyed requests.
    :param idempotent: whether the request may run more than once.
    :param deadline: clock time by which the answer must begin.
    :param fingerprint: identifies requests that are alike.
    :param profile: the service's traffic profile.
    """

    __slots__ = (
        "body",
        "deadline",
        "fingerprint",
        "headers",
        "idempotent",
        "key_hash",
        "method",
        "path",
        "profile",
        "request_id",
        "resendable",
        "service",
    )

    def __init__(
        self,
        *,
        request_id: str,
        service: str,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: ReplayBody,
        key_hash: int | None,
        idempotent: bool,
        deadline: float,
        fingerprint: int,
        profile: Profile,
        resendable: bool = False,
    ) -> None:
        self.resendable = resendable
        self.request_id = request_id
        self.service = service
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.key_hash = key_hash
        self.idempotent = idempotent
        self.deadline = deadline
        self.fingerprint = fingerprint
        self.profile = profile
