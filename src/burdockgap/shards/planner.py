"""Decisions on which server owns which range."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.shards.shard import KEYS, Shard

if TYPE_CHECKING:
    from burdockgap.shards.control_state import ControlState
    from burdockgap.shards.key_rates import KeyRates

_WORTH_MOVING = 0.2
"""Least gap between two servers' use of their slots for a move."""
_SPARE_USE = 0.35
"""Use of slots below which a server is left alone."""
_LEAST_MOVES = 3
_SERVERS_A_MOVE = 4
"""Moves made at once are at most one for so many servers, but at least
:data:`_LEAST_MOVES`."""
_DEAR_KEYS = 8192
"""Keys that halve the worth of a move, as each that changes hands
costs."""


class Server:
    """
    A server that may own keys.

    :param name: its member's name.
    :param born: its target's life.
    :param capacity: requests per second that it can run.
    """

    __slots__ = ("born", "capacity", "name")

    def __init__(self, *, name: str, born: int, capacity: float) -> None:
        self.name = name
        self.born = born
        self.capacity = capacity


def assign_unowned(
    state: ControlState,
    service: str,
    servers: dict[str, Server],
    rates: KeyRates,
    *,
    gone: set[tuple[str, int]],
) -> bool:
    """
    Give ranges without a usable owner to servers.

    :param state: changed in place.
    :param servers: servers that may own keys, by name.
    :param gone: owners, each with its target's life, that surely hold
        nothing any more; others are asked to let go first.
    :return: whether anything changed.
    """
    if not servers:
        return False
    rows = state.shards.get(service, [])
    if not rows:
        state.shards[service] = _even_split(state, servers)
        return True
    use = _use(rows, servers, rates)
    result: list[Shard] = []
    changed = False
    all_rates = rates.between(0, KEYS - 1)
    for shard in rows:
        server = servers.get(shard.owner)
        if server is not None and server.born == shard.born:
            result.append(shard)
            continue
        changed = True
        share = rates.between(shard.first, shard.last) / all_rates
        # A small range is not worth cutting up among all servers.
        count = min(len(servers), 1 + int(share * len(servers) * 2))
        for part in _parts(shard, count):
            name = min(use, key=lambda name: use[name])
            result.append(_moved(state, part, servers[name], gone))
            rate = rates.between(part.first, part.last)
            use[name] += rate / servers[name].capacity
    state.shards[service] = result
    return changed


def balance(
    state: ControlState,
    service: str,
    servers: dict[str, Server],
    rates: KeyRates,
) -> int:
    """
    Move ranges from the busiest servers to the idlest.

    :param state: changed in place.
    :return: the number of moves.
    """
    moves = 0
    stuck: set[str] = set()
    use = _use(state.shards[service], servers, rates)
    most = max(len(servers) // _SERVERS_A_MOVE, _LEAST_MOVES)
    while moves < most and len(stuck) < len(servers) - 1:
        busiest = max(servers.keys() - stuck, key=lambda name: use[name])
        idlest = min(servers, key=lambda name: use[name])
        gap = use[busiest] - use[idlest]
        if gap < _WORTH_MOVING or use[busiest] < _SPARE_USE:
            break
        give, take = servers[busiest], servers[idlest]
        wanted = gap / (1 / give.capacity + 1 / take.capacity)
        rows = state.shards[service]
        part = _part_to_move(rows, give, rates, wanted)
        if part is None:
            stuck.add(busiest)
            continue
        _replace(state, service, part, _moved(state, part, take, set()))
        rate = rates.between(part.first, part.last)
        use[busiest] -= rate / give.capacity
        use[idlest] += rate / take.capacity
        moves += 1
    return moves


def _even_split(
    state: ControlState, servers: dict[str, Server]
) -> list[Shard]:
    names = sorted(servers)
    bounds = [KEYS * index // len(names) for index in range(len(names) + 1)]
    return [
        Shard(
            bounds[index],
            bounds[index + 1] - 1,
            owner=name,
            born=servers[name].born,
            fence=state.take_fence(),
        )
        for index, name in enumerate(names)
    ]


def _use(
    rows: list[Shard], servers: dict[str, Server], rates: KeyRates
) -> dict[str, float]:
    use = dict.fromkeys(servers, 0.0)
    for shard in rows:
        server = servers.get(shard.owner)
        if server is not None and server.born == shard.born:
            rate = rates.between(shard.first, shard.last)
            use[server.name] += rate / server.capacity
    return use


def _parts(shard: Shard, count: int) -> list[Shard]:
    """Return a range cut so that several servers can share it."""
    count = max(min(count, shard.size), 1)
    edges = [shard.first + shard.size * i // count for i in range(count + 1)]
    return [
        shard.part(edges[i], edges[i + 1] - 1) for i in range(len(edges) - 1)
    ]


def _moved(
    state: ControlState,
    shard: Shard,
    server: Server,
    gone: set[tuple[str, int]],
) -> Shard:
    holders = [*shard.previous]
    if shard.owner and (shard.owner, shard.born) not in gone:
        holders.append((shard.owner, shard.fence))
    return Shard(
        shard.first,
        shard.last,
        owner=server.name,
        born=server.born,
        fence=state.take_fence(),
        previous=tuple(holders),
    )


def _part_to_move(
    rows: list[Shard], give: Server, rates: KeyRates, wanted: float
) -> Shard | None:
    """Return the range, or end of one, that is best worth moving."""
    best: Shard | None = None
    best_worth = 0.0
    for shard in rows:
        if shard.owner != give.name or shard.previous:
            continue
        whole = rates.between(shard.first, shard.last)
        if whole <= wanted:
            candidates = [(whole, shard)]
        else:
            candidates = _ends(shard, rates, wanted)
        for rate, part in candidates:
            worth = rate / (1 + part.size / _DEAR_KEYS)
            if worth > best_worth:
                best, best_worth = part, worth
    return best


def _ends(
    shard: Shard, rates: KeyRates, wanted: float
) -> list[tuple[float, Shard]]:
    known = rates.known(shard.first, shard.last)
    found = []
    total, end = 0.0, None
    for key, rate in known:
        if total + rate > wanted:
            break
        total, end = total + rate, key
    if end is not None and end < shard.last:
        found.append((total, shard.part(shard.first, end)))
    total, start = 0.0, None
    for key, rate in reversed(known):
        if total + rate > wanted:
            break
        total, start = total + rate, key
    if start is not None and start > shard.first:
        found.append((total, shard.part(start, shard.last)))
    return found


def _replace(
    state: ControlState, service: str, part: Shard, new: Shard
) -> None:
    result: list[Shard] = []
    for shard in state.shards[service]:
        if shard.last < part.first or shard.first > part.last:
            result.append(shard)
            continue
        if shard.first < part.first:
            result.append(shard.part(shard.first, part.first - 1))
        result.append(new)
        if shard.last > part.last:
            result.append(shard.part(part.last + 1, shard.last))
    state.shards[service] = result
