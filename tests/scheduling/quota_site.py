"""A simulated site whose daemons keep the quota of one account."""

from __future__ import annotations

import heapq
import random
from collections import deque

from burdockgap.scheduling.quota_limits import (
    HOLDERS,
    POOL_INTERVAL_S,
    QuotaBounds,
    QuotaLimits,
)
from burdockgap.scheduling.quota_shares import QuotaShare

SILENCE_S = 3.2
TIMEOUT_S = 0.4


def _rank(index):
    """Return a fixed order that differs from that of the demand."""
    return index * 37 % 101, index


class Daemon:
    """One daemon's tokens and the part of the site that it is in."""

    def __init__(self, index, site):
        self.index = index
        self.up = True
        self.part = 0
        self.tick = 0
        self.asking = False
        self.waiting = 0
        self.site = site
        self.share = QuotaShare(
            site.limits,
            site.now,
            filled=True,
            holds=index in site.first_holders,
        )


class QuotaSite:
    """
    Daemons, their messages and a simulated clock.

    Messages are lost with the given probability and delayed by up to
    ``delay_s``; parts of a cut site notice it after some seconds.
    """

    def __init__(
        self, size, *, rate, burst=None, seed=0, loss=0.0, delay_s=0.02
    ):
        self.random = random.Random(seed)
        self.size = size
        self.loss = loss
        self.delay_s = delay_s
        self.now = 0.0
        self.bounds = QuotaBounds()
        self.rate = rate
        self.burst = rate if burst is None else burst
        self.limits = self.make_limits()
        self.admitted = []
        self.refused = []
        self._events = []
        self._count = 0
        self.silent_at = {}
        self.first_holders = sorted(range(size), key=_rank)[:HOLDERS]
        self.daemons = [Daemon(index, self) for index in range(size)]
        for daemon in self.daemons:
            self.after(
                self.random.uniform(0, POOL_INTERVAL_S), self._tick, daemon
            )

    def make_limits(self):
        return QuotaLimits(
            rate_per_s=self.rate,
            burst=self.burst,
            bounds=self.bounds,
            known=self.size,
        )

    def after(self, delay_s, action, *args: object):
        self._count += 1
        item = (self.now + delay_s, self._count, action, args)
        heapq.heappush(self._events, item)

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now = until

    def set_limit(self, rate, burst):
        """Change the limit; daemons learn of it within 2.5 s."""
        self.rate, self.burst = rate, burst
        limits = self.make_limits()
        for daemon in self.daemons:
            self.after(
                self.random.uniform(0, 2.5), self._change, daemon, limits
            )

    def restart(self, daemon, pause_s=0.5):
        daemon.up = False
        daemon.waiting = 0
        self.silent_at[daemon.index] = self.now
        self.after(pause_s, self._start, daemon)

    def cut(self, parts):
        """Divide the site; ``parts`` has the part of each daemon."""
        for daemon, part in zip(self.daemons, parts, strict=True):
            daemon.part = part
        self.cut_at = self.now

    def demand(self, rate, daemons, until):
        """Let requests arrive at random daemons until a time."""
        self.after(
            self.random.expovariate(rate), self._arrive, rate, daemons, until
        )

    def flood(self, count):
        """Let requests arrive at all daemons at once."""
        for daemon in self.daemons:
            for _ in range(count):
                self.request(daemon)

    def _arrive(self, rate, daemons, until):
        if self.now > until:
            return
        self.request(self.random.choice(daemons))
        self.demand(rate, daemons, until)

    def request(self, daemon):
        if not daemon.up:
            return
        if daemon.share.take(self.now):
            self.admitted.append(self.now)
        elif daemon.share.may_ask(self.now):
            daemon.waiting += 1
            if not daemon.asking:
                daemon.asking = True
                self._ask(daemon, daemon.share, 0, self._order(daemon))
        else:
            self.refused.append(self.now)

    def _order(self, daemon):
        holders = self.holders(daemon)
        self.random.shuffle(holders)
        return holders

    def _ask(self, daemon, share, granted, holders):
        if daemon.share is not share:
            return
        wanted = daemon.waiting - granted
        if not wanted or not holders:
            self._finish(daemon, granted)
            return
        holder, *rest = holders
        asked_at = self.now
        if holder is daemon:
            got = share.lend(wanted)
            left = holders if got == wanted else rest
            self._ask(daemon, share, granted + got, left)
            return

        def answer():
            got = 0
            if self.reaches(daemon, holder):
                got = holder.share.lend(wanted)
            else:
                self.after(TIMEOUT_S, reply, 0)
                return
            if self.random.random() < self.loss:
                self.after(TIMEOUT_S, reply, 0)
            else:
                self.after(self._delay(), reply, got)

        def reply(got):
            # Replies after the time-out are not used.
            in_time = self.now - asked_at <= TIMEOUT_S
            got = got if in_time else 0
            # A holder that gave all may have more for later requests.
            left = holders if got == wanted else rest
            self._ask(daemon, share, granted + got, left)

        self.after(self._delay(), answer)

    def _finish(self, daemon, granted):
        served = min(granted, daemon.waiting)
        daemon.share.give_back(granted - served)
        self.admitted += [self.now] * served
        self.refused += [self.now] * (daemon.waiting - served)
        daemon.share.note_reply(self.now, granted=served == daemon.waiting)
        daemon.waiting = 0
        daemon.asking = False

    def _delay(self):
        return self.random.uniform(0.001, self.delay_s)

    def reaches(self, daemon, other):
        return other.up and daemon.part == other.part

    def holders(self, daemon):
        """Return the holders by the knowledge of one daemon."""
        alive = [
            other
            for other in self.daemons
            if self.reaches(daemon, other)
            or (
                not other.up
                and self.now - self.silent_at[other.index] < SILENCE_S
            )
            or (
                other.part != daemon.part
                and self.now - self.cut_at < SILENCE_S
            )
        ]
        return sorted(alive, key=lambda other: _rank(other.index))[:HOLDERS]

    def _tick(self, daemon):
        if daemon.up:
            daemon.tick += 1
            holders = self.holders(daemon)
            holder = holders[daemon.tick % len(holders)]
            tokens = daemon.share.withdraw_surplus(
                self.now, holds=daemon in holders
            )
            if holder is daemon:
                daemon.share.deposit(tokens)
            elif self.random.random() >= self.loss:
                self.after(
                    self._delay(), self._deposit, daemon, holder, tokens
                )
        self.after(POOL_INTERVAL_S, self._tick, daemon)

    def _deposit(self, daemon, holder, tokens):
        if self.reaches(daemon, holder):
            holder.share.deposit(tokens)

    def _change(self, daemon, limits):
        daemon.share.change(limits, self.now)

    def _start(self, daemon):
        daemon.up = True
        daemon.asking = False
        daemon.share = QuotaShare(
            self.make_limits(), self.now, filled=False, holds=False
        )

    def most_in_window(self, since=0.0):
        """Return the most requests admitted within any window."""
        recent, most = deque(), 0
        for time in self.admitted:
            if time < since:
                continue
            recent.append(time)
            while recent[0] <= time - self.bounds.window_s:
                recent.popleft()
            most = max(most, len(recent))
        return most

    def bound(self):
        return self.bounds.most(self.rate, self.burst)
