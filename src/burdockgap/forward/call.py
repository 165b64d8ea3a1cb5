"""A request that is forwarded to a target."""

from __future__ import annotations

from typing import Any

from burdockgap.forward.known_notice import KnownNotice


class Call:
    """
    One attempt at a request, as sent to the target's daemon.

    :param request_id: the caller's id of the request.
    :param method: the method.
    :param target: path and query (the HTTP request target).
    :param headers: end-to-end headers, names in lower case.
    :param body: the whole body.
    :param service: the service whose target is to run it.
    :param origin: service on the instance that received the request.
    :param key: the key, or ``None`` where the service has no keys.
    :param idempotent: whether it may run more than once.
    :param large: whether a large response is expected.
    :param priority: rank; 0 is the most urgent.
    :param deadline_s: time until the caller's deadline, in seconds.
    :param patience_s: longest wait for a grant of the key, and longest
        backlog of the machine's link for a large response, in seconds.
    :param notice: what the caller's daemon knows of the target's
        notices, if anything.
    :param sender: incarnation of the caller's daemon.
    :param sent_at: when it was sent, in seconds of its clock.
    :param attempt: 1 for the first target that is tried.
    :param account: name of the account, "" if the request has none.
    :param route: name of the route.
    :param nested: whether a request that is running has made it.
    :param objective_s: time left of the latency objective, in seconds;
        below 0 once it has passed.
    """

    __slots__ = (
        "account",
        "attempt",
        "body",
        "deadline_s",
        "headers",
        "idempotent",
        "key",
        "large",
        "method",
        "nested",
        "notice",
        "objective_s",
        "patience_s",
        "origin",
        "priority",
        "request_id",
        "route",
        "sender",
        "sent_at",
        "service",
        "target",
    )

    def __init__(
        self,
        *,
        request_id: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        service: str,
        origin: str,
        key: int | None,
        idempotent: bool,
        large: bool,
        priority: int,
        deadline_s: float,
        patience_s: float,
        notice: KnownNotice | None = None,
        sender: int = 0,
        sent_at: float = 0.0,
        attempt: int = 1,
        account: str = "",
        route: str = "",
        nested: bool = False,
        objective_s: float = 0.0,
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.service = service
        self.origin = origin
        self.key = key
        self.idempotent = idempotent
        self.large = large
        self.priority = priority
        self.deadline_s = deadline_s
        self.patience_s = patience_s
        self.notice = notice
        self.sender = sender
        self.sent_at = sent_at
        self.attempt = attempt
        self.account = account
        self.route = route
        self.nested = nested
        self.objective_s = objective_s

    @property
    def run_id(self) -> str:
        """
        The id by which copies of the request are recognized.

        Clients choose their ids, so one must not lead to the outcome of
        another account's request. No id contains a line feed.
        """
        if not self.account:
            return self.request_id
        return f"{self.account}\n{self.request_id}"

    def shorten(self, seconds: float) -> None:
        """Deduct the time that the call was on its way."""
        self.deadline_s -= seconds
        self.patience_s = max(self.patience_s - seconds, 0.0)
        self.objective_s -= seconds

    def encode(self) -> list[Any]:
        """Return the fields as the list that ``decode`` reads."""
        return [
            self.request_id,
            self.method,
            self.target,
            self.headers,
            self.body,
            self.service,
            self.origin,
            self.key,
            self.idempotent,
            self.large,
            self.priority,
            self.deadline_s,
            self.patience_s,
            self.notice.encode() if self.notice else None,
            self.sender,
            self.sent_at,
            self.attempt,
            self.account,
            self.route,
            self.nested,
            self.objective_s,
        ]

    @classmethod
    def decode(cls, values: list[Any]) -> Call:
        """
        Return the call that ``encode`` turned into a list.

        :raises ValueError: if the list has too few or too many
            fields.
        """
        (
            request_id,
            method,
            target,
            headers,
            body,
            service,
            origin,
            key,
            idempotent,
            large,
            priority,
            deadline_s,
            patience_s,
            notice,
            sender,
            sent_at,
            attempt,
            account,
            route,
            nested,
            objective_s,
        ) = values
        return cls(
            request_id=request_id,
            method=method,
            target=target,
            headers=[(name, value) for name, value in headers],
            body=body,
            service=service,
            origin=origin,
            key=key,
            idempotent=idempotent,
            large=large,
            priority=priority,
            deadline_s=deadline_s,
            patience_s=patience_s,
            notice=KnownNotice.decode(notice) if notice else None,
            sender=sender,
            sent_at=sent_at,
            attempt=attempt,
            account=account,
            route=route,
            nested=nested,
            objective_s=objective_s,
        )
