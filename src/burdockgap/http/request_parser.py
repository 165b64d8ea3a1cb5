"""Parser of callers' requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockgap.gate.fingerprint import BODY_START_BYTES, fingerprint_of
from burdockgap.http import headers as header_names
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

_MAX_TIMEOUT_MS = 3_600_000
_MAX_REQUEST_ID_CHARS = 128
_BOOL_VALUES = {"true": True, "false": False}


class RequestParser:
    """
    Parses ASGI requests of callers into requests for the router.

    :param folds: holds the active configuration.
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
        Parse a request and read the start of its body.

        :param scope: the ASGI scope.
        :param body: chunks of the request body.
        :raises Refusal: ``not-run`` if the request is malformed.
        """
        caller_headers = _decode_headers(scope)
        path = _path_with_query(scope)
        service, cfg, path = self._resolve_service(caller_headers, path)
        profile = self._folds.config.document.profile_of(service)
        replay_body = ReplayBody(body)
        return RouteRequest(
            request_id=_request_id(caller_headers),
            resendable=bool(caller_headers.get(header_names.REQUEST_ID)),
            service=service,
            method=scope["method"],
            path=path,
            headers=_forwarded_headers(scope),
            body=replay_body,
            key_hash=_key_hash(caller_headers, service, cfg),
            idempotent=_idempotent(caller_headers, profile),
            deadline=self._clock.now() + _timeout_s(caller_headers, profile),
            fingerprint=fingerprint_of(
                scope["method"], path, await replay_body.peek(BODY_START_BYTES)
            ),
            profile=profile,
        )

    def _resolve_service(
        self, caller_headers: dict[str, str], path: str
    ) -> tuple[str, ServiceConfig, str]:
        document = self._folds.config.document
        name = caller_headers.get(header_names.SERVICE, "")
        if name:
            if name not in document.services:
                raise _refuse(
                    Reason.UNKNOWN_SERVICE, f"no service is named {name!r}"
                )
            return name, document.services[name], path
        return _resolve_service_by_path(document, path)


def _resolve_service_by_path(
    document: Document, path: str
) -> tuple[str, ServiceConfig, str]:
    path_only, separator, query = path.partition("?")
    cfg = document.service_of_path(path_only)
    if cfg is None:
        raise _refuse(
            Reason.UNKNOWN_SERVICE,
            f"set the {header_names.SERVICE} header or use a service's "
            "path prefix",
        )
    remaining_path = path_only[len(cfg.path_prefix) :] or "/"
    return cfg.name, cfg, remaining_path + separator + query


def _refuse(reason: Reason, detail: str) -> Refusal:
    return Refusal(Verdict.NOT_RUN, reason, detail)


def _decode_headers(scope: dict[str, Any]) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }


def _path_with_query(scope: dict[str, Any]) -> str:
    path = (scope.get("raw_path") or scope["path"].encode()).decode("latin-1")
    query = scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path


def _forwarded_headers(scope: dict[str, Any]) -> list[tuple[str, str]]:
    all_headers = [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in scope["headers"]
    ]
    return [
        (name, value)
        for name, value in all_headers
        if name not in header_names.HOP_BY_HOP
        and (
            name == header_names.KEY
            or not name.startswith(header_names.PREFIX)
        )
    ]


def _request_id(caller_headers: dict[str, str]) -> str:
    request_id = caller_headers.get(header_names.REQUEST_ID) or show_id(
        new_id()
    )
    if len(request_id) > _MAX_REQUEST_ID_CHARS:
        raise _refuse(
            Reason.BAD_REQUEST,
            f"{header_names.REQUEST_ID} is longer than "
            f"{_MAX_REQUEST_ID_CHARS}",
        )
    return request_id


def _key_hash(
    caller_headers: dict[str, str], service: str, cfg: ServiceConfig
) -> int | None:
    if not cfg.keyed:
        return None
    key = caller_headers.get(header_names.KEY, "")
    if not key:
        raise _refuse(
            Reason.MISSING_KEY,
            f"service {service!r} is keyed: set the {header_names.KEY} header",
        )
    return hash_key(key)


def _idempotent(caller_headers: dict[str, str], profile: Profile) -> bool:
    text = caller_headers.get(header_names.IDEMPOTENT)
    if text is None:
        return profile.idempotent
    if text.lower() not in _BOOL_VALUES:
        raise _refuse(
            Reason.BAD_REQUEST,
            f"{header_names.IDEMPOTENT} is 'true' or 'false'",
        )
    return _BOOL_VALUES[text.lower()]


def _timeout_s(caller_headers: dict[str, str], profile: Profile) -> float:
    text = caller_headers.get(header_names.TIMEOUT_MS)
    if text is None:
        return profile.deadline_ms / 1000
    if not text.isdecimal() or not 0 < int(text) <= _MAX_TIMEOUT_MS:
        raise _refuse(
            Reason.BAD_REQUEST,
            f"{header_names.TIMEOUT_MS} is a whole number from 1 to "
            f"{_MAX_TIMEOUT_MS}",
        )
    return int(text) / 1000
