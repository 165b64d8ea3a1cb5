"""Reading of a caller's request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockgap.gate.fingerprint import BODY_START_BYTES, fingerprint_of
from burdockgap.http import headers as names
from burdockgap.ownership.unit import hash_key
from burdockgap.router.replay_body import ReplayBody
from burdockgap.router.route_request import RouteRequest
from burdockgap.verdict import Reason, Refusal, Verdict
from burdockgap.wire.ids import new_id, show_id

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burdockgap.clock import Clock
    from burdockgap.config.document import Document
    from burdockgap.config.profile import Profile
    from burdockgap.config.service_config import ServiceConfig
    from burdockgap.fold.folds import Folds

_TIMEOUT_MAX_MS = 3_600_000
_REQUEST_ID_MAX_CHARS = 128
_TRUTHS = {"true": True, "false": False}


class RequestParser:
    """
    Makes routable requests of what callers send.

    :param folds: the configuration in force.
    :param clock: source of elapsed time.
    """

    __slots__ = ("_clock", "_folds")

    def __init__(self, *, folds: Folds, clock: Clock) -> None:
        self._folds = folds
        self._clock = clock

    async def parse(
        self, scope: dict[str, Any], body: AsyncIterator[bytes]
    ) -> RouteRequest:
        """
        Read a request.

        :param scope: the ASGI scope.
        :param body: the parts of the body.
        :raises Refusal: ``not-run`` with the reason if it is malformed.
        """
        given = _decode_headers(scope)
        path = _path_of(scope)
        service, cfg, path = self._service(given, path)
        profile = self._folds.config.document.profile_of(service)
        replay = ReplayBody(body)
        return RouteRequest(
            request_id=_request_id(given),
            resendable=bool(given.get(names.REQUEST_ID)),
            service=service,
            method=scope["method"],
            path=path,
            headers=_passed_on(scope),
            body=replay,
            key_hash=_key_hash(given, service, cfg),
            idempotent=_idempotent(given, profile),
            deadline=self._clock.now() + _timeout_s(given, profile),
            fingerprint=fingerprint_of(
                scope["method"], path, await replay.peek(BODY_START_BYTES)
            ),
            profile=profile,
        )

    def _service(
        self, given: dict[str, str], path: str
    ) -> tuple[str, ServiceConfig, str]:
        document = self._folds.config.document
        name = given.get(names.SERVICE, "")
        if name:
            if name not in document.services:
                raise _refuse(
                    Reason.UNKNOWN_SERVICE, f"no service is named {name!r}"
                )
            return name, document.services[name], path
        return _service_of_path(document, path)


def _service_of_path(
    document: Document, path: str
) -> tuple[str, ServiceConfig, str]:
    plain, mark, query = path.partition("?")
    cfg = document.service_of_path(plain)
    if cfg is None:
        raise _refuse(
            Reason.UNKNOWN_SERVICE,
            f"set the {names.SERVICE} header or use a service's path prefix",
        )
    rest = plain[len(cfg.path_prefix) :] or "/"
    return cfg.name, cfg, rest + mark + query


def _refuse(reason: Reason, detail: str) -> Refusal:
    return Refusal(Verdict.NOT_RUN, reason, detail)


def _decode_headers(scope: dict[str, Any]) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }


def _path_of(scope: dict[str, Any]) -> str:
    path = (scope.get("raw_path") or scope["path"].encode()).decode("latin-1")
    query = scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path


def _passed_on(scope: dict[str, Any]) -> list[tuple[str, str]]:
    decoded = [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in scope["headers"]
    ]
    return [
        (name, value)
        for name, value in decoded
        if name not in names.HOP_BY_HOP
        and (name == names.KEY or not name.startswith(names.PREFIX))
    ]


def _request_id(given: dict[str, str]) -> str:
    request_id = given.get(names.REQUEST_ID) or show_id(new_id())
    if len(request_id) > _REQUEST_ID_MAX_CHARS:
        raise _refuse(
            Reason.BAD_REQUEST,
            f"{names.REQUEST_ID} is longer than {_REQUEST_ID_MAX_CHARS}",
        )
    return request_id


def _key_hash(
    given: dict[str, str], service: str, cfg: ServiceConfig
) -> int | None:
    if not cfg.keyed:
        return None
    key = given.get(names.KEY, "")
    if not key:
        raise _refuse(
            Reason.MISSING_KEY,
            f"service {service!r} is keyed: set the {names.KEY} header",
        )
    return hash_key(key)


def _idempotent(given: dict[str, str], profile: Profile) -> bool:
    text = given.get(names.IDEMPOTENT)
    if text is None:
        return profile.idempotent
    if text.lower() not in _TRUTHS:
        raise _refuse(
            Reason.BAD_REQUEST, f"{names.IDEMPOTENT} is 'true' or 'false'"
        )
    return _TRUTHS[text.lower()]


def _timeout_s(given: dict[str, str], profile: Profile) -> float:
    text = given.get(names.TIMEOUT_MS)
    if text is None:
        return profile.deadline_ms / 1000
    if not text.isdecimal() or not 0 < int(text) <= _TIMEOUT_MAX_MS:
        raise _refuse(
            Reason.BAD_REQUEST,
            f"{names.TIMEOUT_MS} is a whole number from 1 to "
            f"{_TIMEOUT_MAX_MS}",
        )
    return int(text) / 1000
