"""Reading of callers' bodies."""

import asyncio
from unittest import mock

import h11
import pytest

from primroseyoke.exceptions import RequestFailed, RequestInvalid
from primroseyoke.gateway.body_reading import BodyReader, declared_length
from primroseyoke.gateway.configuration import CallerLimits
from primroseyoke.gateway.connections import Connection
from primroseyoke.gateway.memory import MemoryBudget, RequestMemory
from primroseyoke.gateway.requests import BLOCK_BYTES

MB = 2**20


def make_reader(
    framing: bytes, limit: int = MB
) -> tuple[BodyReader, Connection, RequestMemory, h11.Request]:
    connection = Connection()
    connection.connection_made(mock.MagicMock())
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(
        b'POST / HTTP/1.1\r\nHost: h\r\n' + framing + b'\r\n\r\n'
    )
    head = parser.next_event()
    memory = RequestMemory(MemoryBudget(100 * MB))
    memory.start()
    reader = BodyReader(
        connection, parser, CallerLimits(body_bytes=limit), memory
    )
    return reader, connection, memory, head


@pytest.mark.parametrize('size', [0, 1, BLOCK_BYTES, 3 * BLOCK_BYTES + 5])
@pytest.mark.parametrize('chunked', [False, True])
def test_a_body_is_kept_in_blocks_of_one_size(size, chunked) -> None:
    async def scenario() -> None:
        content = bytes(range(256)) * (size // 256) + b'e' * (size % 256)
        framing = b'Content-Length: %d' % size
        sent = content
        if chunked:
            framing = b'Transfer-Encoding: chunked'
            parts = [content[i : i + 999] for i in range(0, size, 999)]
            sent = b''.join(b'%x\r\n%b\r\n' % (len(p), p) for p in parts)
            sent += b'0\r\n\r\n'
        reader, connection, memory, head = make_reader(framing)
        connection.data_received(sent)
        body = await reader.read(declared_length(head), timeout=8)
        assert bytes(body) == content
        assert len(body) == size
        assert {len(block) for block in body.blocks[:-1]} <= {BLOCK_BYTES}
        memory.close()
        assert memory.budget.total == 0

    asyncio.run(scenario())


def test_a_declared_length_over_the_limit_is_refused_at_the_head() -> None:
    async def scenario() -> None:
        reader, _, _, head = make_reader(b'Content-Length: 1048577')
        with pytest.raises(RequestInvalid) as caught:
            await reader.read(declared_length(head), timeout=8)
        assert caught.value.status == 413

    asyncio.run(scenario())


def test_an_upload_ends_when_its_memory_is_needed_for_others() -> None:
    async def scenario() -> None:
        reader, connection, memory, head = make_reader(
            b'Content-Length: 500000'
        )
        connection.data_received(b'x' * 100_000)
        reading = asyncio.ensure_future(
            reader.read(declared_length(head), timeout=8)
        )
        await asyncio.sleep(0.01)
        memory.revoke()
        with pytest.raises(RequestFailed) as caught:
            await asyncio.wait_for(reading, 1)
        assert caught.value.retry_after > 0

    asyncio.run(scenario())


def test_an_upload_may_lose_its_memory_between_two_reads() -> None:
    """Guards against an upload that goes on because it was not waiting."""

    async def scenario() -> None:
        reader, connection, memory, head = make_reader(
            b'Content-Length: 500000'
        )
        connection.data_received(b'x' * 500_000)
        memory.revoke()
        with pytest.raises(RequestFailed):
            await reader.read(declared_length(head), timeout=8)

    asyncio.run(scenario())
