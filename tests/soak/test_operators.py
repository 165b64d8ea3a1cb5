"""Operators write again what the store has lost, in order."""

from __future__ import annotations

import json

import pytest

from soak.operators import Operators
from standins.sidecar.keyed_topics import KeyedTopics

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def written(store):
    return [
        f"v{int(json.loads(value)['version'], 16)}"
        if key == "config"
        else f"{key}{'' if value else ' gone'}"
        for key, value in store.topics["keyed.op"]
    ]


async def test_lost_documents_are_written_again_in_order():
    store = KeyedTopics()
    operators = Operators(store)
    operators.change_configuration()
    copy = operators.copy_store()
    operators.change_configuration()
    operators.begin_evacuation("tanta")
    operators.change_configuration()
    operators.end_evacuation("tanta")
    operators.restore_store(copy, only_newest=False)
    assert written(store) == ["v1"]
    await operators.write_again(0.01)
    assert written(store) == [
        "v1",
        "v2",
        "evacuate/tanta",
        "v3",
        "evacuate/tanta gone",
    ]


async def test_only_the_newest_of_each_document_is_written_again():
    store = KeyedTopics()
    operators = Operators(store)
    operators.change_configuration()
    copy = operators.copy_store()
    operators.begin_evacuation("tanta")
    operators.change_configuration()
    operators.end_evacuation("tanta")
    operators.change_configuration()
    operators.restore_store(copy, only_newest=True)
    await operators.write_again(0.01)
    assert written(store) == ["v1", "evacuate/tanta gone", "v3"]


async def test_new_documents_are_written_after_the_lost_ones():
    store = KeyedTopics()
    operators = Operators(store)
    operators.change_configuration()
    copy = operators.copy_store()
    operators.change_configuration()
    operators.restore_store(copy, only_newest=False)
    operators.change_configuration()
    assert written(store) == ["v1"]
    await operators.write_again(0.01)
    operators.change_configuration()
    assert written(store) == ["v1", "v2", "v3", "v4"]


async def test_a_copy_may_be_older_than_an_earlier_return():
    store = KeyedTopics()
    operators = Operators(store)
    operators.change_configuration()
    first = operators.copy_store()
    operators.change_configuration()
    second = operators.copy_store()
    operators.change_configuration()
    operators.restore_store(first, only_newest=True)
    await operators.write_again(0.01)
    operators.change_configuration()
    operators.restore_store(second, only_newest=False)
    await operators.write_again(0.01)
    assert written(store) == ["v1", "v2", "v3", "v4"]


async def test_writing_again_restarts_no_bound():
    store = KeyedTopics()
    operators = Operators(store)
    operators.change_configuration()
    copy = operators.copy_store()
    operators.change_configuration()
    operators.begin_evacuation("tanta")
    times = operators.changed_at, dict(operators.evacuated_at)
    operators.restore_store(copy, only_newest=False)
    await operators.write_again(0.01)
    operators.begin_evacuation("tanta")
    assert (operators.changed_at, operators.evacuated_at) == times
