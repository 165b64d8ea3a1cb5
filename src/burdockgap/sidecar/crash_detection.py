"""Detection of crashing requests, with what other daemons know."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.forward.crash_watch import CrashWatch
from burdockgap.forward.suspect_book import SuspectBook
from burdockgap.sidecar.suspect_exchange import SuspectExchange
from burdockgap.sidecar.suspect_store import SuspectStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.clock import Clock
    from burdockgap.fleet.datagrams import Datagrams
    from burdockgap.fleet.roster import Roster
    from burdockgap.metadata.keyed_store import KeyedStore
    from burdockgap.sidecar.sidecar_settings import SidecarSettings


class CrashDetection:
    """
    The components that detect requests that crash targets.

    :param cfg: the daemon's settings.
    :param clock: the time source.
    :param store: the platform's store.
    :param datagrams: sends and receives what daemons know.
    :param roster: the members.
    :param on_event: logs an event with its fields.
    :ivar suspects: the requests suspected of crashing targets.
    :ivar watch: blames requests for crashes of the own target.
    :ivar exchange: exchanges suspects with other daemons.
    :ivar store: keeps quarantined requests in the store.
    """

    __slots__ = ("exchange", "store", "suspects", "watch")

    def __init__(
        self,
        *,
        cfg: SidecarSettings,
        clock: Clock,
        store: KeyedStore,
        datagrams: Datagrams,
        roster: Roster,
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self.suspects = SuspectBook(clock)
        self.exchange = SuspectExchange(
            datagrams=datagrams,
            roster=roster,
            suspects=self.suspects,
            on_event=on_event,
        )
        self.store = SuspectStore(
            store=store,
            name=cfg.name,
            suspects=self.suspects,
            on_event=on_event,
        )
        self.watch = CrashWatch(
            name=cfg.name,
            service=cfg.service,
            clock=clock,
            suspects=self.suspects,
            on_crash=lambda: self.exchange.announce(cfg.service),
            on_event=on_event,
        )
