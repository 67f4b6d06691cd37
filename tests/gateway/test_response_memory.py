"""Memory for what upstreams have sent and callers have not received."""

import asyncio

from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.memory import MemoryUse
from primroseyoke.gateway.requests import CallerRequest
from tests.gateway.deployment import Deployment, deployment, wait_until
from tests.standins.platform import StandInUpstream, answer_ok

RECEIVED_BYTES = 150_000
SIGNED = b'HTTP/1.1 200 OK\r\nx-primroseyoke-response-signature: s\r\n'


def held_bytes(system: Deployment) -> int:
    return system.gateway.request_listener.budget.held[MemoryUse.RESPONSES]


class IncompleteUpstream:
    """Sends the beginning of a body, then closes once ``is_done`` is set."""

    def __init__(self) -> None:
        self.is_done = asyncio.Event()

    async def respond(
        self,
        upstream: StandInUpstream,
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        connection = response.connection
        length = b'content-length: %d\r\n\r\n' % (RECEIVED_BYTES + 1)
        connection.write(SIGNED + length + b'x' * RECEIVED_BYTES)
        await self.is_done.wait()
        connection.close()


def test_a_body_that_is_buffered_holds_memory_until_its_attempt_ends() -> None:
    """Guards against memory that is not counted, or counted for too long.

    The body breaks off, and another upstream answers late.
    """

    async def scenario() -> None:
        incomplete = IncompleteUpstream()
        answers_now = asyncio.Event()

        async def answer_late(
            upstream: StandInUpstream,
            request: CallerRequest,
            response: ResponseWriter,
        ) -> None:
            await answers_now.wait()
            await answer_ok(upstream, request, response)

        async def respond(
            upstream: StandInUpstream,
            request: CallerRequest,
            response: ResponseWriter,
        ) -> None:
            is_first = not incomplete.is_done.is_set()
            handler = incomplete.respond if is_first else answer_late
            await handler(upstream, request, response)

        async with deployment(app=(respond, respond)) as system:
            call = asyncio.ensure_future(system.call('/lookup/'))
            await wait_until(lambda: held_bytes(system) > 0)
            incomplete.is_done.set()
            await wait_until(
                lambda: (
                    sum(
                        len(upstream.received_requests)
                        for upstream in system.upstreams.values()
                    )
                    == 2
                )
            )
            assert held_bytes(system) == 0
            assert not call.done()
            answers_now.set()
            assert (await call).status == 200

    asyncio.run(scenario())
