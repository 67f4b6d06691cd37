"""Slow and stalled streams, copies of responses, and requests at a stop."""

import asyncio
import signal
import time

from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.rank_groups import GroupStatus
from primroseyoke.gateway.requests import CallerRequest
from tests.gateway.deployment import (
    API_KEY,
    VIRTUAL_HOST,
    configuration,
    deployment,
    route,
    wait_until,
)
from tests.gateway.test_proxy import events, stream
from tests.standins.platform import StandInUpstream, answer_ok


async def send_bytes_without_events(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    """Send two events, and then a byte now and then."""
    response.start(200, upstream.signature_headers(request))
    await response.send(events(1, 2))
    while True:
        await response.send(b'd')
        await asyncio.sleep(0.2)


async def stream_slowly(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    response.start(200, upstream.signature_headers(request))
    for number in range(1, 4):
        await response.send(events(number, number))
        await asyncio.sleep(1.6)
    response.finish()


def test_a_stream_that_sends_bytes_but_no_events_continues_elsewhere() -> None:
    """Guards against stalled streams that are kept by a byte now and then."""

    async def scenario() -> None:
        handlers = (send_bytes_without_events, stream)
        async with deployment(model=handlers) as system:
            system.gateway.balancer.in_flight.record_start('model-1')
            started = time.monotonic()
            received = await system.call('/draft/', 'POST', timeout_ms=4000)
            assert received.complete
            assert received.body == events(1, 6)
            assert time.monotonic() - started < 2.0

    asyncio.run(scenario())


def test_a_slow_stream_within_its_objectives_is_not_cut() -> None:
    """Guards against a fixed timeout that ends slow but sound streams."""

    async def scenario() -> None:
        async with deployment(model=(stream_slowly, stream_slowly)) as system:
            slow = route(
                '/slow/',
                'streaming',
                'model',
                resumable=True,
                gapAimMs=2000,
                timeoutMs=20000,
            )
            changed = configuration(2)
            changed['routes'] = [*changed['routes'], slow]
            system.store.put('keyed.op', 'config', changed)
            state = system.gateway.routing_state
            await wait_until(lambda: state.configuration.version == 2)
            received = await system.call('/slow/', 'POST', timeout_ms=20000)
            assert received.complete
            assert received.body == events(1, 3)
            requests = [
                len(upstream.received_requests)
                for upstream in system.upstreams.values()
            ]
            assert sorted(requests) == [0, 1]

    asyncio.run(scenario())


def test_a_response_without_an_id_on_a_used_connection_is_not_forwarded() -> (
    None
):
    """Guards against the late copy of a response that reaches the next caller.

    The copy arrives in the instant in which the connection is used again.
    """

    async def respond_or_repeat(
        upstream: StandInUpstream,
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        if len(upstream.received_requests) == 2:
            response.connection.write(
                b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n'
                b'x-primroseyoke-response-signature: s\r\n\r\nother'
            )
        await answer_ok(upstream, request, response)

    async def scenario() -> None:
        async with deployment(app=(respond_or_repeat,)) as system:
            first = await system.call('/book/', 'POST', request_id='r-1')
            second = await system.call('/book/', 'POST', request_id='r-2')
            assert first.body == b'done by app-0'
            assert second.body != b'other'
            assert second.status == 502

    asyncio.run(scenario())


def test_a_request_that_is_being_read_at_a_stop_is_answered() -> None:
    """Guards against a planned stop that cuts requests just accepted.

    The gateway used to exit once no complete request was in progress.
    """

    async def scenario() -> None:
        async with deployment(app=(answer_ok,), grace=6) as system:
            address = system.gateway.settings.callers
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(
                f'POST /lookup/ HTTP/1.1\r\nHost: {VIRTUAL_HOST}\r\n'
                f'Authorization: Bearer {API_KEY}\r\n'
                f'X-Primroseyoke-Request-Id: r-1\r\n'
                f'X-Primroseyoke-Request-Timeout-Ms: 5000\r\n'
                f'Content-Length: 4\r\n\r\nh'.encode()
            )
            listener = system.gateway.request_listener
            await wait_until(lambda: bool(listener.connections))
            signal.raise_signal(signal.SIGTERM)
            for part in (b'a', b'lf'):
                await asyncio.sleep(1.6)
                writer.write(part)
            content = await asyncio.wait_for(reader.read(4096), 2)
            assert content.startswith(b'HTTP/1.1 200')
            assert b'connection: close' in content.lower()
            writer.close()

    asyncio.run(scenario())


def pausing_stream(first: int, last: int, pause: float):
    """Return a handler that pauses after its first ``first`` events."""

    async def respond(
        upstream: StandInUpstream,
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        start = int(request.last_event_id or 0)
        response.start(200, upstream.signature_headers(request))
        await response.send(events(start + 1, start + first))
        await asyncio.sleep(pause)
        if start + first < last:
            await response.send(events(start + first + 1, last))
        response.finish()

    return respond


async def reject(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    headers = upstream.signature_headers(request)
    response.respond(
        503, [*headers, (b'x-primroseyoke-not-executed', b'1')], b''
    )


async def hang(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    await asyncio.sleep(60)


async def call_draft(system, **overrides: object):
    """Call a resumable stream; model-0 gets it first."""
    system.gateway.balancer.in_flight.record_start('model-1')
    return await system.call('/draft/', 'POST', timeout_ms=4000, **overrides)


def test_the_last_attempt_of_a_stream_is_not_cut_for_its_silence() -> None:
    """Guards against a stream that ends although nobody else takes it over.

    Its route allows one upstream, which pauses for longer than another one
    would be asked.
    """

    async def scenario() -> None:
        pausing = pausing_stream(2, 6, 1.7)
        async with deployment(model=(pausing,)) as system:
            changed = configuration(2)
            for each in changed['routes']:
                each['attempts'] = 1
            system.store.put('keyed.op', 'config', changed)
            state = system.gateway.routing_state
            await wait_until(lambda: state.configuration.version == 2)
            received = await system.call('/draft/', 'POST', timeout_ms=4000)
            assert received.complete
            assert received.body == events(1, 6)

    asyncio.run(scenario())


def test_a_silent_stream_goes_on_if_no_other_upstream_is_free() -> None:
    """Guards against a stream that ends while it waits for another slot."""

    async def scenario() -> None:
        handlers = (pausing_stream(2, 6, 2.5),)
        async with deployment(model=handlers) as system:
            received = await system.call('/draft/', 'POST', timeout_ms=4000)
            assert received.complete
            assert received.body == events(1, 6)

    asyncio.run(scenario())


def test_a_silent_stream_goes_on_if_the_other_upstreams_reject_it() -> None:
    async def scenario() -> None:
        handlers = (pausing_stream(2, 6, 2.0), reject)
        async with deployment(model=handlers) as system:
            received = await call_draft(system)
            assert received.complete
            assert received.body == events(1, 6)

    asyncio.run(scenario())


def test_the_first_upstream_to_go_on_has_the_stream_alone() -> None:
    """Guards against events of two upstreams in one response."""

    async def scenario() -> None:
        for first, second in (
            (pausing_stream(2, 6, 1.7), hang),
            (hang, pausing_stream(2, 6, 0.2)),
            (pausing_stream(2, 6, 1.7), pausing_stream(1, 6, 0.1)),
        ):
            async with deployment(model=(first, second)) as system:
                received = await call_draft(system)
                assert received.complete
                assert received.body == events(1, 6)
                requests = [
                    upstream.received_requests[0]
                    for upstream in system.upstreams.values()
                ]
                await wait_until(
                    lambda: any(each.cancelled for each in requests)
                )
                balancer = system.gateway.balancer
                await wait_until(
                    lambda: balancer.in_flight.total('model-0') == 0
                )

    asyncio.run(scenario())


def test_a_stream_whose_end_alone_is_late_ends_whole() -> None:
    """Guards against a break after the last event.

    Another upstream has nothing to add to such a stream, which cannot be told
    from one that lost the rest.
    """

    async def scenario() -> None:
        async def nothing_more(upstream, request, response) -> None:
            response.start(200, upstream.signature_headers(request))
            response.finish()

        handlers = (pausing_stream(6, 6, 1.7), nothing_more)
        async with deployment(model=handlers) as system:
            received = await call_draft(system)
            assert received.complete
            assert received.body == events(1, 6)

    asyncio.run(scenario())


def test_a_silent_upstream_that_rejects_in_the_end_does_not_use_an_attempt():
    """An upstream that stands still says after a while what it did not run."""

    async def scenario() -> None:
        async def reject_late(upstream, request, response) -> None:
            await asyncio.sleep(1.5)
            await reject(upstream, request, response)

        async with deployment(model=(reject_late, reject_late)) as system:
            received = await call_draft(system)
            assert received.status == 503
            assert b'not_run' in received.body

    asyncio.run(scenario())


def test_attempts_that_wait_end_with_their_caller() -> None:
    async def scenario() -> None:
        async with deployment(model=(hang, hang)) as system:
            call = asyncio.ensure_future(call_draft(system))
            await wait_until(
                lambda: all(
                    upstream.received_requests
                    for upstream in system.upstreams.values()
                )
            )
            call.cancel()
            await wait_until(
                lambda: all(
                    upstream.received_requests[0].cancelled
                    for upstream in system.upstreams.values()
                ),
                1,
            )
            balancer = system.gateway.balancer
            assert balancer.in_flight.total('model-0') == 0

    asyncio.run(scenario())


def test_a_silent_stream_does_not_tell_that_its_group_stands_still() -> None:
    """Guards against a group that is avoided for streams that were lost.

    A stream whose connection was cut is silent while its group goes on.
    """

    async def scenario() -> None:
        async with deployment(model=(pausing_stream(2, 6, 1.7),)) as system:
            groups = system.gateway.balancer.groups
            calls = []

            class RecordedStatus(GroupStatus):
                def record_end(self) -> None:
                    calls.append('end')

            def record_start(name: str, now: float) -> GroupStatus:
                calls.append('start')
                return RecordedStatus()

            groups.record_stream_start = record_start
            call = asyncio.ensure_future(
                system.call('/draft/', 'POST', timeout_ms=4000)
            )
            await wait_until(lambda: calls == ['start', 'end'])
            assert not call.done()
            assert (await call).complete
            assert calls == ['start', 'end', 'start', 'end']

    asyncio.run(scenario())


def test_blame_of_one_attempt_outlasts_the_failure_of_the_next() -> None:
    """Guards against a request that crashes a third upstream.

    The first one crashed while it was silent, and the second one broke off.
    """

    async def scenario() -> None:
        async def break_late(upstream, request, response) -> None:
            await asyncio.sleep(1.6)
            response.abort()

        async def break_later(upstream, request, response) -> None:
            await asyncio.sleep(0.6)
            response.abort()

        handlers = (break_late, break_later, stream)
        async with deployment(model=handlers) as system:
            changed = configuration(2)
            for each in changed['routes']:
                each['attempts'] = 3
            system.store.put('keyed.op', 'config', changed)
            state = system.gateway.routing_state
            await wait_until(lambda: state.configuration.version == 2)
            in_flight = system.gateway.balancer.in_flight
            for name, count in (('model-1', 1), ('model-2', 2)):
                for _ in range(count):
                    in_flight.record_start(name)
            verdicts = [True, False]

            async def record_break(candidate) -> bool:
                return verdicts.pop(0)

            system.gateway.proxy.crash_detector.record_break = record_break
            received = await system.call('/draft/', 'POST', timeout_ms=4000)
            assert not verdicts
            assert received.status == 502
            assert not system.upstreams['model-2'].received_requests

    asyncio.run(scenario())
