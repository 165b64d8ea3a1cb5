"""A store that returns from copies that are some seconds old."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from soak.site import Site

_INTERVAL_S = (1.0, 12.0)
_AGE_S = (1.0, 9.0)
_DOWN_S = (0.3, 3.0)
_WRITE_AGAIN_S = (0.1, 1.0)
_NEXT_CHANGE_S = (0.1, 3.0)
_EVACUATION = ((False, False), (True, False), (True, True))
"""Whether an evacuation begins and ends before the store is away."""


class RestoredStore:
    """
    Lets the store lose what it acknowledged since a copy was taken.

    Each time a configuration changes before and after the return. An
    evacuation may begin or end before it as well, so that a removal is
    lost. The copies may be taken in any order with the returns; one
    return is over before the store goes down for the next.

    :param site: the site under test.
    :param rng: chooses moments, ages and durations; these don't depend
        on what the site does.
    :param log: called with a description when the store goes down.
    """

    def __init__(
        self, site: Site, rng: random.Random, log: Callable[[str], None]
    ) -> None:
        self._site = site
        self._rng = rng
        self._log = log
        self._returning = asyncio.Lock()

    async def run(self, deadline: float) -> None:
        """
        Take copies until a time, then wait until all are in use.

        :param deadline: time of the loop until which copies are taken.
        """
        async with asyncio.TaskGroup() as tasks:
            while True:
                await asyncio.sleep(self._rng.uniform(*_INTERVAL_S))
                if asyncio.get_running_loop().time() > deadline:
                    return
                rng = random.Random(self._rng.random())
                tasks.create_task(self._lose_writes(rng))

    async def _lose_writes(self, rng: random.Random) -> None:
        operators = self._site.operators
        data_centre = rng.choice(self._site.machines).data_centre
        begins, ends = rng.choice(_EVACUATION)
        only_newest = rng.choice((False, True))
        age_s = rng.uniform(*_AGE_S)
        changed_s = rng.uniform(0.0, age_s)
        down_s = rng.uniform(*_DOWN_S)
        write_again_s = rng.uniform(*_WRITE_AGAIN_S)
        next_change_s = rng.uniform(*_NEXT_CHANGE_S)
        if operators.evacuated_at:
            begins = ends = False
        if ends:
            self._begin_evacuation(data_centre)
        copy = operators.copy_store()
        await asyncio.sleep(changed_s)
        self._change_configuration()
        if ends:
            operators.end_evacuation(data_centre)
        elif begins:
            self._begin_evacuation(data_centre)
        await asyncio.sleep(age_s - changed_s)
        async with self._returning:
            self._log(f"store restored after {down_s:.2f} s, {age_s:.2f} lost")
            self._site.begin_store_fault("down")
            await asyncio.sleep(down_s)
            operators.restore_store(copy, only_newest=only_newest)
            self._site.end_store_fault("down")
            await operators.write_again(write_again_s)
        await asyncio.sleep(next_change_s)
        self._change_configuration()
        if begins and not ends:
            operators.end_evacuation(data_centre)

    def _begin_evacuation(self, data_centre: str) -> None:
        self._log(f"take out {data_centre}")
        self._site.operators.begin_evacuation(data_centre)

    def _change_configuration(self) -> None:
        self._log(f"configuration {self._site.operators.version + 1}")
        self._site.operators.change_configuration()
