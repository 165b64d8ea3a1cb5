"""Selection of witnesses and successors for new sessions."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from burdockgap.coordinator.member import Member, member_of
from burdockgap.records.session_entry import SessionEntry
from burdockgap.records.witness_ref import WitnessRef

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from burdockgap.fold.control_state import ControlState
    from burdockgap.peer.messages.join import Join

SUCCESSORS_MAX = 4
WITNESSES_MIN = 2


class Admission:
    """
    Selects witnesses and successors for a list of joining sessions.

    :param control: control state with the existing sessions.
    :param joins: the join requests to admit.
    :param witnesses: number of witnesses wanted for each session.
    :param excluded: ids of sessions that are leaving; they are not
        selected as witnesses or successors.
    """

    __slots__ = (
        "_excluded",
        "_joins",
        "_members",
        "_succeeding",
        "_witnesses",
        "_witnessing",
    )

    def __init__(
        self,
        *,
        control: ControlState,
        joins: list[Join],
        witnesses: int,
        excluded: set[int],
    ) -> None:
        self._joins = joins
        self._witnesses = witnesses
        self._excluded = excluded
        self._members = _members(control, joins, excluded)
        self._witnessing = _count_witnessing(control)
        self._succeeding = _count_succeeding(control)

    def member_count(self) -> int:
        """Return the number of processes that can be witnesses."""
        return len(self._members)

    def entries(self) -> list[SessionEntry]:
        """Return the sessions to admit, in the order of the joins."""
        return [self._entry(join) for join in self._joins]

    def batches(self, size: int) -> Iterator[list[SessionEntry]]:
        """
        Yield the sessions to admit in batches, computed lazily.

        A session may name witnesses and successors that are only
        admitted in a later batch.

        :param size: largest number of sessions in a batch.
        """
        for start in range(0, len(self._joins), size):
            batch = self._joins[start : start + size]
            yield [self._entry(join) for join in batch]

    def _entry(self, join: Join) -> SessionEntry:
        return SessionEntry(
            session_id=join.session_id,
            incarnation=join.incarnation,
            name=join.name,
            service=join.service,
            data_centre=join.data_centre,
            region=join.region,
            peer_address=join.peer_address,
            http_address=join.http_address,
            slots=join.slots,
            witnesses=self._choose_witnesses(join),
            successors=self._choose_successors(join),
        )

    def _choose_witnesses(self, join: Join) -> list[WitnessRef]:
        others = self._others(join)
        if len(others) < WITNESSES_MIN:
            return []
        chosen: list[Member] = []
        majority = self._witnesses // 2 + 1
        near = [m for m in others if m.region == join.region]
        for candidates, size in (
            (near, majority),
            (others, self._witnesses),
        ):
            _add_best(
                chosen,
                candidates,
                size,
                join.data_centre,
                lambda member: self._witnessing[member.incarnation],
            )
        for member in chosen:
            self._witnessing[member.incarnation] += 1
        return [
            WitnessRef(
                incarnation=member.incarnation, address=member.peer_address
            )
            for member in chosen
        ]

    def _choose_successors(self, join: Join) -> list[int]:
        same = [m for m in self._others(join) if m.service == join.service]
        chosen: list[Member] = []
        _add_best(
            chosen,
            same,
            SUCCESSORS_MAX,
            join.data_centre,
            lambda member: self._succeeding[member.session_id],
        )
        for member in chosen:
            self._succeeding[member.session_id] += 1
        return [member.session_id for member in chosen]

    def _others(self, join: Join) -> list[Member]:
        return [
            member
            for member in self._members
            if member.incarnation != join.incarnation
        ]


def _add_best(
    chosen: list[Member],
    candidates: Iterable[Member],
    size: int,
    own_data_centre: str,
    duties: Callable[[Member], int],
) -> None:
    """
    Append candidates to ``chosen`` until it has ``size`` members.

    Prefers the data centre with the fewest members so far, counting
    ``own_data_centre`` as used once, then the candidate with the fewest
    ``duties``. Stops early if there are no candidates left.
    """
    rest = [member for member in candidates if member not in chosen]
    while len(chosen) < size and rest:
        used = Counter(member.data_centre for member in chosen)
        used[own_data_centre] += 1
        best = min(
            rest,
            key=lambda member: (
                used[member.data_centre],
                duties(member),
                member.session_id,
            ),
        )
        chosen.append(best)
        rest.remove(best)


def _members(
    control: ControlState, joins: list[Join], excluded: set[int]
) -> list[Member]:
    """Return one member per daemon process, with its newest session."""
    known = {
        entry.incarnation: member_of(entry)
        for entry in control.sessions.values()
        if entry.session_id not in excluded
    }
    known.update({join.incarnation: member_of(join) for join in joins})
    return list(known.values())


def _count_witnessing(control: ControlState) -> Counter[int]:
    return Counter(
        witness.incarnation
        for entry in control.sessions.values()
        for witness in entry.witnesses
    )


def _count_succeeding(control: ControlState) -> Counter[int]:
    return Counter(
        successor
        for entry in control.sessions.values()
        for successor in entry.successors
    )
