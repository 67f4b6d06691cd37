"""Division of a gateway's memory among the requests of its callers."""

import asyncio
import gc
import time
import weakref
from collections.abc import Iterator
from unittest import mock

import pytest

from primroseyoke.exceptions import RequestFailed
from primroseyoke.gateway.memory import (
    MemoryBudget,
    MemoryUse,
    RequestMemory,
)
from primroseyoke.verdicts import Verdict
from tests.event_loop import run

MB = 2**20
LONG = 4 * MB


@pytest.fixture(autouse=True)
def _loop_clock() -> Iterator[None]:
    def now() -> float:
        return asyncio.get_running_loop().time()

    with mock.patch.object(time, 'monotonic', now):
        yield


async def hold_bodies(
    budget: MemoryBudget, count: int, size: int = LONG
) -> list[RequestMemory]:
    held = [RequestMemory(budget) for _ in range(count)]
    for memory in held:
        memory.start()
        await memory.reserve_body(size, 0, timeout=8)
    return held


def capacity(budget: MemoryBudget) -> int:
    """Return how many long bodies fit at once."""
    return int(budget.limit * 0.75 // (LONG + 400_000))


def test_bodies_wait_until_others_have_ended() -> None:
    async def scenario() -> None:
        budget = MemoryBudget(300 * MB)
        held = await hold_bodies(budget, capacity(budget))
        waiting = [RequestMemory(budget) for _ in range(3)]
        tasks = [
            asyncio.ensure_future(memory.reserve_body(LONG, 0, timeout=8))
            for memory in waiting
        ]
        await asyncio.sleep(0.1)
        assert len(budget.waiters) >= 2
        for memory in held[:3]:
            memory.finish_body(LONG)
            memory.close()
        await asyncio.gather(*tasks)
        for memory in (*held[3:], *waiting):
            memory.close()
        assert budget.total == 0

    run(scenario())


def test_short_bodies_do_not_wait_behind_long_ones() -> None:
    async def scenario() -> None:
        budget = MemoryBudget(300 * MB)
        await hold_bodies(budget, capacity(budget))
        long_body = RequestMemory(budget)
        task = asyncio.ensure_future(long_body.reserve_body(LONG, 0, 8))
        await asyncio.sleep(0.1)
        started_at = time.monotonic()
        await hold_bodies(budget, 5, size=200_000)
        assert time.monotonic() == started_at
        assert not task.done()
        task.cancel()

    run(scenario())


def test_small_requests_are_served_while_bodies_fill_their_share() -> None:
    async def scenario() -> None:
        budget = MemoryBudget(300 * MB)
        while not budget.must_wait(200_000):
            await hold_bodies(budget, 1, size=200_000)
        for _ in range(100):
            RequestMemory(budget).start()

    run(scenario())


def test_a_body_without_memory_is_refused_as_not_run() -> None:
    async def scenario() -> None:
        budget = MemoryBudget(300 * MB)
        for memory in await hold_bodies(budget, capacity(budget)):
            memory.finish_body(LONG)
        with pytest.raises(RequestFailed) as caught:
            await hold_bodies(budget, 3)
        assert caught.value.verdict is Verdict.NOT_RUN
        assert caught.value.status == 503
        assert caught.value.retry_after > 0
        assert not budget.waiters
        assert budget.refusals == 1

    run(scenario())


def test_bodies_beyond_a_full_queue_are_refused_at_once() -> None:
    async def scenario() -> None:
        budget = MemoryBudget(300 * MB)
        fitting = capacity(budget)
        await hold_bodies(budget, fitting)
        tasks = [
            asyncio.ensure_future(
                RequestMemory(budget).reserve_body(LONG, 0, 8)
            )
            for _ in range(2 * fitting)
        ]
        await asyncio.sleep(0.01)
        refused = [task for task in tasks if task.done()]
        assert len(refused) >= fitting // 2
        for task in refused:
            assert isinstance(task.exception(), RequestFailed)
        for task in tasks:
            task.cancel()

    run(scenario())


def test_a_body_that_never_fits_is_refused_at_once() -> None:
    """A later attempt at this host would not be served either."""

    async def scenario() -> None:
        budget = MemoryBudget(20 * MB)
        started_at = time.monotonic()
        with pytest.raises(RequestFailed) as caught:
            await hold_bodies(budget, 1, size=40 * MB)
        assert caught.value.retry_after == 0
        assert time.monotonic() == started_at

    run(scenario())


def test_a_stalled_upload_makes_room_for_one_that_waits() -> None:
    async def scenario() -> None:
        budget = MemoryBudget(300 * MB)
        uploads = await hold_bodies(budget, capacity(budget))
        revoked = []
        for number, memory in enumerate(uploads):
            memory.on_revoke = lambda number=number: revoked.append(number)
        stalled = uploads.pop(3)
        stalled.record_received(MB)
        stalled.on_revoke = stalled.close
        for _ in range(10):
            await asyncio.sleep(0.3)
            for memory in uploads:
                memory.record_received(LONG // 12)
        await hold_bodies(budget, 1)
        assert stalled.revoked
        assert not revoked

    run(scenario())


def test_fast_uploads_are_never_ended_for_others() -> None:
    async def scenario() -> None:
        budget = MemoryBudget(300 * MB)
        uploads = await hold_bodies(budget, capacity(budget))
        await asyncio.sleep(0.5)
        for memory in uploads:
            memory.record_received(LONG // 2)
        with pytest.raises(RequestFailed):
            await hold_bodies(budget, 3)
        assert not any(memory.revoked for memory in uploads)

    run(scenario())


def test_memory_that_a_chunked_body_did_not_need_is_released() -> None:
    async def scenario() -> None:
        budget = MemoryBudget(300 * MB)
        (memory,) = await hold_bodies(budget, 1)
        memory.finish_body(100_000)
        assert budget.held[MemoryUse.BODIES] == 100_000
        memory.close()
        memory.close()
        assert budget.total == 0

    run(scenario())


def test_slow_readers_leave_memory_to_bodies() -> None:
    async def scenario() -> None:
        budget = MemoryBudget(300 * MB)
        readers = [RequestMemory(budget) for _ in range(400)]
        granted = sum(reader.extend_response(MB) for reader in readers)
        assert 0 < granted * MB <= budget.limit / 2
        await hold_bodies(budget, 10)

    run(scenario())


@pytest.mark.parametrize('memory_mb', [1, 32, 64, 300, 4096])
def test_the_budget_leaves_memory_to_the_program(memory_mb: int) -> None:
    budget = MemoryBudget(memory_mb * MB)
    assert 0 < budget.limit < memory_mb * MB * 0.9
    budget.resize(2 * memory_mb * MB)
    assert budget.limit < 2 * memory_mb * MB * 0.9


class _Cycle:
    """Holds a body until reference cycles are collected."""

    def __init__(self) -> None:
        self.itself = self
        self.body = bytes(1)


@pytest.mark.parametrize('is_response', [False, True])
def test_ended_requests_keep_little_in_reference_cycles(
    is_response: bool,
) -> None:
    """Guards against a process over its memory while its budget is nearly free.

    What failed or was cancelled leaves a cycle, by the traceback for example.
    Few objects do not make the collector run, however much they hold.
    """

    async def scenario() -> None:
        budget = MemoryBudget(300 * MB)
        left = []
        for _ in range(40):
            memory = RequestMemory(budget)
            memory.start()
            cycle = _Cycle()
            left.append(weakref.ref(cycle))
            if is_response:
                assert memory.extend_response(LONG)
                memory.release_response(LONG)
            else:
                await memory.reserve_body(LONG, 0, timeout=8)
                memory.finish_body(LONG)
            memory.close()
            del cycle
            kept = sum(each() is not None for each in left)
            assert kept * LONG < budget.limit / 10

    gc.collect()
    gc.disable()
    try:
        run(scenario())
    finally:
        gc.enable()


def test_small_requests_cause_no_collection() -> None:
    """Guards against pauses of 20 ms each while a host is busy."""

    async def scenario() -> None:
        budget = MemoryBudget(300 * MB)
        with mock.patch.object(gc, 'collect') as collect:
            for _ in range(5000):
                memory = RequestMemory(budget)
                memory.start()
                memory.finish_body(60000)
                memory.close()
        assert not collect.called

    run(scenario())
