"""Answers where a request would go now, without sending it."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from burdockgap.http1.response import Response
from burdockgap.platform.requests import parse_credential
from burdockgap.shards.shard import KEY_COUNT

if TYPE_CHECKING:
    from burdockgap.accounts.account import Account
    from burdockgap.fleet.member import Member
    from burdockgap.fleet.roster import Roster
    from burdockgap.forward.chooser import Chooser
    from burdockgap.http1.request import Request
    from burdockgap.routing.documents import Documents
    from burdockgap.routing.route import Route
    from burdockgap.routing.routing_config import RoutingConfig
    from burdockgap.shards.control_view import ControlView

ROUTE_PATH = "/route"
_HEADERS = [("content-type", "application/json")]
_MS_PER_S = 1000


class RouteQuery:
    """
    Explains the choice that the daemon would make for a request.

    It reads the state that the data path uses and changes none of it:
    no counter, budget, quota or record of calls.

    :param documents: the configuration.
    :param roster: the members.
    :param view: owners of keys.
    :param chooser: the choice of a target.
    """

    __slots__ = ("_chooser", "_documents", "_roster", "_view")

    def __init__(
        self,
        *,
        documents: Documents,
        roster: Roster,
        view: ControlView,
        chooser: Chooser,
    ) -> None:
        self._documents = documents
        self._roster = roster
        self._view = view
        self._chooser = chooser

    def answer(self, req: Request) -> Response:
        """Return the explanation that a query asks for."""
        query = parse_qs(urlsplit(req.target).query)
        try:
            host, path = _only(query, "host"), _only(query, "path")
            key = _decode_key(query.get("key"))
        except ValueError as exc:
            return _respond(400, {"error": str(exc)})
        credential = parse_credential(req)
        return _respond(200, self.explain(host, path, key, credential))

    def explain(
        self,
        host: str,
        path: str,
        key: int | None = None,
        credential: bytes | None = None,
    ) -> dict[str, Any]:
        """
        Return what the daemon knows and would do, as JSON values.

        :param host: the request's host.
        :param path: its path.
        :param key: its key, if it has one.
        :param credential: the client's key, if it has one; it is not
            part of the result.
        """
        config = self._documents.config
        if config is None:
            return _refusal(503, "no configuration has been received yet")
        route = config.find(host, path.partition("?")[0])
        if route is None:
            return _refusal(
                404,
                "no route matches the host and path",
                config_version=config.version,
            )
        account, refusal = _find_account(config, route, credential)
        if refusal is not None:
            return refusal
        found: dict[str, Any] = {
            "config_version": config.version,
            "route": route.name,
            "account": account.name if account is not None else None,
            "priority": route.priority
            if account is None or account.priority is None
            else account.priority,
            "idempotent": route.idempotent,
            "services": [
                self._explain_service(name, weight, route, key)
                for name, weight in route.weighted_services
            ],
        }
        return found

    def _explain_service(
        self, service: str, weight: float, route: Route, key: int | None
    ) -> dict[str, Any]:
        found: dict[str, Any] = {"service": service, "weight": weight}
        config = self._documents.config
        policy = config.services.get(service) if config is not None else None
        if policy is not None and policy.keyed:
            found.update(self._explain_owner(service, key))
        else:
            found.update(self._explain_candidates(service, route))
        return found

    def _explain_owner(self, service: str, key: int | None) -> dict[str, Any]:
        if key is None:
            return _refusal(400, "the service requires a key")
        shard = self._view.state.find(service, key)
        if shard is None or not shard.owner:
            return _refusal(503, "the key has no owner")
        found: dict[str, Any] = {
            "owner": shard.owner,
            "fence": shard.fence,
            "first_key": shard.first,
            "last_key": shard.last,
            "control_version": list(self._view.version),
        }
        member = self._chooser.owner(service, key)
        if member is None:
            return found | _refusal(503, "the key's owner is silent")
        return found | {
            "choice": member.name,
            "why": "it owns the key",
            "candidates": [self._describe(member)],
        }

    def _explain_candidates(
        self, service: str, route: Route
    ) -> dict[str, Any]:
        members = self._chooser.candidates(service, route, set())
        if not members:
            return _refusal(503, "the service has no usable target")
        known = sorted(
            (self._describe(member) for member in members),
            key=lambda item: item["expected_ms"],
        )
        return {
            "choice": known[0]["member"],
            "why": "it has the lowest expected cost; a request compares a "
            "random sample of the candidates",
            "candidates": known,
        }

    def _describe(self, member: Member) -> dict[str, Any]:
        load = self._roster.load(member)
        is_full = load.in_flight + load.waiting >= load.slots
        return {
            "member": member.name,
            "data_centre": member.data_centre,
            "expected_ms": round(
                self._roster.expected_latency_s(member) * _MS_PER_S, 1
            ),
            "in_flight": load.in_flight,
            "waiting": load.waiting,
            "slots": load.slots,
            "service_ms": round(load.service_s * _MS_PER_S, 1),
            "load_age_ms": round(
                self._roster.load_age_s(member.name) * _MS_PER_S
            ),
            "would": "wait" if is_full else "start",
        }


def _find_account(
    config: RoutingConfig, route: Route, credential: bytes | None
) -> tuple[Account | None, dict[str, Any] | None]:
    """Return the account of a request, or why it would be refused."""
    if config.accounts is None or (
        credential is None and route.allow_anonymous
    ):
        return None, None
    if credential is None:
        return None, _refusal(401, "the request has no key")
    account = config.accounts.find(credential)
    if account is None:
        return None, _refusal(401, "the request's key is unknown")
    return account, None


def _refusal(status: int, why: str, **fields: Any) -> dict[str, Any]:
    return {"refused": status, "why": why, **fields}


def _respond(status: int, value: dict[str, Any]) -> Response:
    return Response(status, _HEADERS, json.dumps(value).encode())


def _only(query: dict[str, list[str]], name: str) -> str:
    values = query.get(name, [])
    if len(values) != 1:
        raise ValueError(
            f"parameter {name!r} is given {len(values)} times instead of once"
        )
    return values[0]


def _decode_key(values: list[str] | None) -> int | None:
    if values is None:
        return None
    text = values[0]
    if not text.isascii() or not text.isdigit() or int(text) >= KEY_COUNT:
        raise ValueError(
            f"key {text!r:.20} is not an integer from 0 to {KEY_COUNT - 1}"
        )
    return int(text)
