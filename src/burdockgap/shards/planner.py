"""Algorithms that assign ranges to servers and balance their load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.shards.shard import KEY_COUNT, Shard

if TYPE_CHECKING:
    from burdockgap.shards.control_state import ControlState
    from burdockgap.shards.key_rates import KeyRates

_MIN_UTILISATION_GAP_SHARE = 0.2
"""Difference between two servers' utilisation that justifies a move."""
_MIN_DONOR_UTILISATION_SHARE = 0.35
"""Utilisation below which no range is moved away from a server."""
_MIN_MOVES = 3
_SERVERS_PER_MOVE = 4
"""One balancing run makes at most one move for this many servers, but
:data:`_MIN_MOVES` are always allowed."""
_HALF_SCORE_KEYS = 8192
"""Number of keys at which the score of a move is halved, because each
moved key has a cost."""


class Server:
    """
    A server that may own keys.

    :param name: name of its member.
    :param born: start time of its target, which identifies the target's
        incarnation.
    :param capacity: requests per second that it can serve.
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
    Assign ranges without a usable owner to servers.

    :param state: changed in place.
    :param servers: servers that may own keys, by name.
    :param rates: request rates of the service's keys.
    :param gone: owners, as name and start time of the target, that
        certainly hold nothing any more; all others have to release
        their ranges first.
    :return: whether anything changed.
    """
    if not servers:
        return False
    rows = state.shards.get(service, [])
    if not rows:
        state.shards[service] = _even_split(state, servers)
        return True
    if all(_is_usable(shard, servers) for shard in rows):
        return False
    utilisation = _utilisation_by_server(rows, servers, rates)
    result: list[Shard] = []
    total_rate = rates.range_rate(0, KEY_COUNT - 1)
    for shard in rows:
        if _is_usable(shard, servers):
            result.append(shard)
            continue
        share = rates.range_rate(shard.first, shard.last) / total_rate
        # A range with a small share of the requests is split less.
        count = min(len(servers), 1 + int(share * len(servers) * 2))
        for subrange in _split(shard, count):
            name = min(utilisation, key=lambda name: utilisation[name])
            result.append(_reassigned(state, subrange, servers[name], gone))
            rate = rates.range_rate(subrange.first, subrange.last)
            utilisation[name] += rate / servers[name].capacity
    state.shards[service] = result
    return True


def balance(
    state: ControlState,
    service: str,
    servers: dict[str, Server],
    rates: KeyRates,
) -> int:
    """
    Move ranges from the busiest servers to the idlest.

    :param state: changed in place.
    :param servers: servers that may own keys, by name.
    :param rates: request rates of the service's keys.
    :return: the number of moves.
    """
    moves = 0
    exhausted: set[str] = set()
    utilisation = _utilisation_by_server(state.shards[service], servers, rates)
    max_moves = max(len(servers) // _SERVERS_PER_MOVE, _MIN_MOVES)
    while moves < max_moves and len(exhausted) < len(servers) - 1:
        busiest = max(
            servers.keys() - exhausted, key=lambda name: utilisation[name]
        )
        idlest = min(servers, key=lambda name: utilisation[name])
        gap = utilisation[busiest] - utilisation[idlest]
        if (
            gap < _MIN_UTILISATION_GAP_SHARE
            or utilisation[busiest] < _MIN_DONOR_UTILISATION_SHARE
        ):
            break
        donor, recipient = servers[busiest], servers[idlest]
        wanted_rate = gap / (1 / donor.capacity + 1 / recipient.capacity)
        rows = state.shards[service]
        subrange = _select_subrange(rows, donor, rates, wanted_rate)
        if subrange is None:
            exhausted.add(busiest)
            continue
        _replace_subrange(
            state,
            service,
            subrange,
            _reassigned(state, subrange, recipient, set()),
        )
        rate = rates.range_rate(subrange.first, subrange.last)
        utilisation[busiest] -= rate / donor.capacity
        utilisation[idlest] += rate / recipient.capacity
        moves += 1
    return moves


def _is_usable(shard: Shard, servers: dict[str, Server]) -> bool:
    """Return whether the server that owns a range may go on."""
    server = servers.get(shard.owner)
    return server is not None and server.born == shard.born


def _even_split(
    state: ControlState, servers: dict[str, Server]
) -> list[Shard]:
    names = sorted(servers)
    bounds = [
        KEY_COUNT * index // len(names) for index in range(len(names) + 1)
    ]
    return [
        Shard(
            bounds[index],
            bounds[index + 1] - 1,
            owner=name,
            born=servers[name].born,
            fence=state.allocate_fence(),
        )
        for index, name in enumerate(names)
    ]


def _utilisation_by_server(
    rows: list[Shard], servers: dict[str, Server], rates: KeyRates
) -> dict[str, float]:
    utilisation = dict.fromkeys(servers, 0.0)
    for shard in rows:
        if _is_usable(shard, servers):
            rate = rates.range_rate(shard.first, shard.last)
            utilisation[shard.owner] += rate / servers[shard.owner].capacity
    return utilisation


def _split(shard: Shard, count: int) -> list[Shard]:
    """Split a range into up to ``count`` parts of almost equal size."""
    count = max(min(count, shard.size), 1)
    edges = [shard.first + shard.size * i // count for i in range(count + 1)]
    return [
        shard.subrange(edges[i], edges[i + 1] - 1)
        for i in range(len(edges) - 1)
    ]


def _reassigned(
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
        fence=state.allocate_fence(),
        previous=tuple(holders),
    )


def _select_subrange(
    rows: list[Shard], donor: Server, rates: KeyRates, wanted_rate: float
) -> Shard | None:
    """
    Return the range, or an end of one, with the best move score.

    :param wanted_rate: highest rate to move, in requests per second.
    :return: ``None`` if the donor has nothing suitable.
    """
    best: Shard | None = None
    best_score = 0.0
    for shard in rows:
        if shard.owner != donor.name or shard.previous:
            continue
        shard_rate = rates.range_rate(shard.first, shard.last)
        if shard_rate <= wanted_rate:
            candidates = [(shard_rate, shard)]
        else:
            candidates = _end_subranges(shard, rates, wanted_rate)
        for rate, subrange in candidates:
            score = rate / (1 + subrange.size / _HALF_SCORE_KEYS)
            if score > best_score:
                best, best_score = subrange, score
    return best


def _end_subranges(
    shard: Shard, rates: KeyRates, wanted_rate: float
) -> list[tuple[float, Shard]]:
    sampled_rates = rates.sampled_rates(shard.first, shard.last)
    found = []
    total, end = 0.0, None
    for key, rate in sampled_rates:
        if total + rate > wanted_rate:
            break
        total, end = total + rate, key
    if end is not None and end < shard.last:
        found.append((total, shard.subrange(shard.first, end)))
    total, start = 0.0, None
    for key, rate in reversed(sampled_rates):
        if total + rate > wanted_rate:
            break
        total, start = total + rate, key
    if start is not None and start > shard.first:
        found.append((total, shard.subrange(start, shard.last)))
    return found


def _replace_subrange(
    state: ControlState, service: str, subrange: Shard, new: Shard
) -> None:
    result: list[Shard] = []
    for shard in state.shards[service]:
        if shard.last < subrange.first or shard.first > subrange.last:
            result.append(shard)
            continue
        if shard.first < subrange.first:
            result.append(shard.subrange(shard.first, subrange.first - 1))
        result.append(new)
        if shard.last > subrange.last:
            result.append(shard.subrange(subrange.last + 1, shard.last))
    state.shards[service] = result
