"""Links between entries and agents: one WebSocket connection per pair.

Each process runs one event loop in a thread that owns the sockets. Other
threads pass messages to the loop and receive messages through callbacks.
"""

import asyncio
import dataclasses
import http
import itertools
import json
import logging
import queue
import threading
from collections.abc import Callable, Mapping
from typing import Any

from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import WebSocketException
from websockets.http11 import Request, Response

from .exceptions import LinkClosed, MessageInvalid, ServiceUnavailable
from .messages import (
    Body,
    Cancel,
    Credit,
    End,
    Failed,
    Head,
    Hello,
    Message,
    Refused,
    Start,
    Welcome,
    decode,
    encode,
)
from .settings import Address

__all__ = (
    'Attempt',
    'EventLoopThread',
    'Link',
    'LinkPool',
    'LinkServer',
    'LinkLost',
)

log = logging.getLogger(__name__)

# An unresponsive process is detected after at most the heartbeat interval plus
# the timeout.
HEARTBEAT_INTERVAL_SECONDS = 2
HEARTBEAT_TIMEOUT_SECONDS = 3
# An agent does not need to detect a lost entry quickly, and each heartbeat
# costs both sides more bytes of packet headers than all load reports.
AGENT_HEARTBEAT_INTERVAL_SECONDS = 10
MAX_MESSAGE_BYTES = 2**22
_MIN_RECONNECT_DELAY_SECONDS = 0.1
_MAX_RECONNECT_DELAY_SECONDS = 2.0
_IDLE_POLL_INTERVAL_SECONDS = 0.2

#: Messages of an agent that refer to one attempt.
Reply = Refused | Head | Body | End | Failed


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLost:
    """The link was lost; ``sent`` tells whether the request had been sent."""

    sent: bool


class EventLoopThread:
    """An asyncio event loop in a thread of its own."""

    def __init__(self, name: str) -> None:
        """Create the loop and its thread; ``start`` runs them."""
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(
            target=self.loop.run_forever,
            name=name,
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread, which runs the loop."""
        self.thread.start()

    def call(self, function: Callable[..., Any], *args: Any) -> None:
        """Schedule a function call in the thread of the loop."""
        self.loop.call_soon_threadsafe(function, *args)

    def run_coroutine(self, coroutine: Any, timeout: float = 10) -> Any:
        """Run a coroutine in the loop and return its result.

        Args:
            coroutine: runs in the thread of the loop.
            timeout: seconds after which waiting for the result fails.
        """
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(timeout)

    def stop(self) -> None:
        """Stop the loop and wait for its thread."""
        self.call(self.loop.stop)
        self.thread.join(timeout=2)
        self.loop.close()


class Attempt:
    """One attempt at a request, on the side of the entry."""

    def __init__(self, number: int, link: 'Link') -> None:
        """Collect the replies to attempt ``number``, sent over ``link``."""
        self.number = number
        self.link = link
        self.replies: queue.SimpleQueue[Reply | LinkLost] = queue.SimpleQueue()
        self.sent = False
        self.received_bytes = 0

    def next_reply(self, timeout: float) -> Reply | LinkLost:
        """Return the next reply.

        Raises:
            queue.Empty: no reply arrived within ``timeout`` seconds.
        """
        return self.replies.get(timeout=timeout)

    def grant_credit(self, size: int) -> None:
        """Allow the agent to send ``size`` more bytes of the response."""
        self.link.send(Credit(self.number, size))

    def cancel(self) -> None:
        """Tell the agent to cancel the attempt, and ignore further replies."""
        self.link.discard_replies(self)
        self.link.send(Cancel(self.number))


class Link:
    """Connection of an entry to one agent, restored until it is closed.

    Attributes:
        is_ready: whether the link is up and its agent has a configuration.
    """

    def __init__(self, pool: 'LinkPool', upstream: str, address: str) -> None:
        """Connect to the agent of ``upstream`` at ``address``."""
        self.pool = pool
        self.upstream = upstream
        self.address = address
        self.attempts: dict[int, Attempt] = {}
        self.outgoing: asyncio.Queue[Message] | None = None
        self.is_ready = False
        self.task = pool.event_loop.loop.create_task(self._keep_connected())

    def send(self, message: Message) -> None:
        """Send a message if the link is up; can be called from any thread."""
        self.pool.event_loop.call(self._enqueue, message)

    def start(self, attempt: Attempt, message: Start) -> None:
        """Send a request; must be called in the thread of the event loop."""
        if self.outgoing is None:
            attempt.replies.put(LinkLost(sent=False))
            return
        self.attempts[attempt.number] = attempt
        self._enqueue(message)

    def discard_replies(self, attempt: Attempt) -> None:
        """Ignore further replies to an attempt; callable from any thread."""
        self.pool.event_loop.call(self.attempts.pop, attempt.number, None)

    async def close_when_idle(self) -> None:
        """Close the link when it has no more attempts in progress.

        A change of the configuration can remove an agent while responses still
        arrive over its link; these must not be interrupted.
        """
        await asyncio.sleep(_IDLE_POLL_INTERVAL_SECONDS)
        while self.attempts:
            await asyncio.sleep(_IDLE_POLL_INTERVAL_SECONDS)
        self.task.cancel()

    def _enqueue(self, message: Message) -> None:
        if self.outgoing is not None:
            self.outgoing.put_nowait(message)

    async def _keep_connected(self) -> None:
        delay = _MIN_RECONNECT_DELAY_SECONDS
        while True:
            try:
                await self._connect()
            except (OSError, WebSocketException, MessageInvalid) as error:
                log.debug(
                    'link to the agent of %s failed, reconnecting: %s',
                    self.upstream,
                    error,
                )
            else:
                delay = _MIN_RECONNECT_DELAY_SECONDS
            await asyncio.sleep(delay)
            delay = min(delay * 2, _MAX_RECONNECT_DELAY_SECONDS)

    async def _connect(self) -> None:
        async with connect(
            f'ws://{self.address}/',
            compression=None,
            proxy=None,
            open_timeout=HEARTBEAT_TIMEOUT_SECONDS,
            close_timeout=1,
            ping_interval=HEARTBEAT_INTERVAL_SECONDS,
            ping_timeout=HEARTBEAT_TIMEOUT_SECONDS,
            max_size=MAX_MESSAGE_BYTES,
        ) as websocket:
            await websocket.send(encode(self.pool.hello))
            welcome = decode(await websocket.recv())
            if not isinstance(welcome, Welcome):
                raise MessageInvalid(
                    'expected Welcome as the first message of the agent'
                )
            if welcome.upstream != self.upstream:
                raise MessageInvalid(
                    f'expected the agent of {self.upstream},'
                    f' found that of {welcome.upstream}'
                )
            await self._exchange_messages(websocket, welcome)

    async def _exchange_messages(
        self, websocket: Any, welcome: Welcome
    ) -> None:
        self.outgoing = asyncio.Queue()
        self._deliver(welcome)
        writer = asyncio.create_task(self._send_queued(websocket))
        try:
            async for frame in websocket:
                self._handle_message(decode(frame))
        finally:
            writer.cancel()
            self._mark_lost()
            self.pool.report_lost(self)

    async def _send_queued(self, websocket: Any) -> None:
        assert self.outgoing is not None  # noqa: S101
        while True:
            message = await self.outgoing.get()
            if isinstance(message, Start):
                self._mark_sent(message.attempt)
            await websocket.send(encode(message))

    def _mark_sent(self, number: int) -> None:
        attempt = self.attempts.get(number)
        if attempt is not None:
            attempt.sent = True

    def _handle_message(self, message: Message) -> None:
        if not isinstance(message, Reply):
            self._deliver(message)
            return
        attempt = self.attempts.get(message.attempt)
        if attempt is None:
            return
        if isinstance(message, Refused | End | Failed):
            self.attempts.pop(message.attempt)
        if isinstance(message, Body):
            attempt.received_bytes += len(message.content)
        else:
            self._deliver(message)
        attempt.replies.put(message)

    def _deliver(self, message: Message) -> None:
        self.pool.on_message(self, message)
        load = getattr(message, 'load', None)
        if load is not None:
            # After the callback, so that whoever finds the link ready can use
            # the upstream.
            self.is_ready = not load.starting

    def _mark_lost(self) -> None:
        self.outgoing = None
        self.is_ready = False
        for attempt in self.attempts.values():
            attempt.replies.put(LinkLost(attempt.sent))
        self.attempts.clear()


class LinkPool:
    """The links of an entry to its agents."""

    def __init__(
        self,
        hello: Hello,
        on_message: Callable[[Link, Message], None],
        on_lost: Callable[[Link], None],
    ) -> None:
        """Pass lost links and messages except response bodies to callbacks."""
        self.hello = hello
        self.on_message = on_message
        self.on_lost = on_lost
        self.event_loop = EventLoopThread('links')
        self.links: dict[str, Link] = {}
        self.attempt_numbers = itertools.count(1)

    def set_agents(self, addresses: Mapping[str, str]) -> None:
        """Keep links to exactly these agents (``ip:port`` by upstream name)."""
        self.event_loop.call(self._update_links, dict(addresses))

    def start(self, upstream: str, message: Start) -> Attempt:
        """Send a request to an upstream and return the attempt.

        Raises:
            LinkClosed: no link to the upstream is configured.
        """
        link = self.links.get(upstream)
        if link is None:
            raise LinkClosed(
                f'no link to the agent of {upstream} is configured'
            )
        number = next(self.attempt_numbers)
        attempt = Attempt(number, link)
        numbered_message = dataclasses.replace(message, attempt=number)
        self.event_loop.call(link.start, attempt, numbered_message)
        return attempt

    def is_linked(self, upstream: str) -> bool:
        """Tell whether the link to an upstream is up."""
        link = self.links.get(upstream)
        return link is not None and link.outgoing is not None

    def is_ready(self, upstream: str) -> bool:
        """Tell whether the link is up and its agent has a configuration."""
        link = self.links.get(upstream)
        return link is not None and link.is_ready

    def broadcast(self, message: Message) -> None:
        """Send a message over every link that is up."""
        for link in tuple(self.links.values()):
            link.send(message)

    def stop(self) -> None:
        """Close all links and stop the event loop."""
        self.event_loop.run_coroutine(self._close())
        self.event_loop.stop()

    def report_lost(self, link: Link) -> None:
        """Report a lost link, unless its agent has been removed."""
        if self.links.get(link.upstream) is link:
            self.on_lost(link)

    async def _close(self) -> None:
        tasks = [link.task for link in self.links.values()]
        self.links.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _update_links(self, addresses: Mapping[str, str]) -> None:
        for upstream, link in tuple(self.links.items()):
            if addresses.get(upstream) != link.address:
                self.links.pop(upstream)
                self.on_lost(link)
                self.event_loop.loop.create_task(link.close_when_idle())
        for upstream, address in addresses.items():
            if upstream not in self.links:
                self.links[upstream] = Link(self, upstream, address)


class EntryConnection:
    """Connection from an entry, on the side of the agent."""

    def __init__(self, server: 'LinkServer', websocket: Any) -> None:
        """Send messages over ``websocket``."""
        self.server = server
        self.websocket = websocket
        self.host = ''
        self.outgoing: asyncio.Queue[Message] = asyncio.Queue()

    def send(self, message: Message) -> None:
        """Queue a message for sending; can be called from any thread."""
        self.server.event_loop.call(self.outgoing.put_nowait, message)

    async def send_queued(self) -> None:
        """Send queued messages until the task is cancelled."""
        while True:
            message = await self.outgoing.get()
            await self.websocket.send(encode(message))


class LinkServer:
    """Accepts links from entries, and answers state requests over HTTP."""

    def __init__(
        self,
        listen: Address,
        welcome: Callable[[], Welcome],
        on_message: Callable[[EntryConnection, Message], None],
        on_lost: Callable[[EntryConnection], None],
        dump: Callable[[], Any],
    ) -> None:
        """Answer ``GET /state`` with the JSON form of what ``dump`` returns."""
        self.listen = listen
        self.welcome = welcome
        self.on_message = on_message
        self.on_lost = on_lost
        self.dump = dump
        self.event_loop = EventLoopThread('links')
        self.connections: set[EntryConnection] = set()
        self.server: Any = None

    def start(self) -> None:
        """Start to listen for connections.

        Raises:
            OSError: the address is in use or not available.
        """
        self.event_loop.start()
        self.server = self.event_loop.run_coroutine(self._listen())

    def broadcast(self, message: Message) -> None:
        """Send a message to each connected entry."""
        for connection in tuple(self.connections):
            connection.send(message)

    def stop(self) -> None:
        """Send queued messages; close the links and the listening socket."""
        self.event_loop.run_coroutine(self._close())
        self.event_loop.stop()

    async def _listen(self) -> Any:
        return await serve(
            self._handle_connection,
            self.listen.host,
            self.listen.port,
            process_request=self._handle_http_request,
            compression=None,
            close_timeout=1,
            ping_interval=AGENT_HEARTBEAT_INTERVAL_SECONDS,
            ping_timeout=HEARTBEAT_TIMEOUT_SECONDS,
            max_size=MAX_MESSAGE_BYTES,
        )

    async def _close(self) -> None:
        for connection in tuple(self.connections):
            while (
                connection in self.connections
                and not connection.outgoing.empty()
            ):
                await asyncio.sleep(0)
        self.server.close()
        await self.server.wait_closed()

    async def _handle_connection(self, websocket: ServerConnection) -> None:
        connection = EntryConnection(self, websocket)
        try:
            await self._serve_entry(connection)
        except (WebSocketException, MessageInvalid) as error:
            log.debug('link from entry %s closed: %s', connection.host, error)
        finally:
            self.connections.discard(connection)

    async def _serve_entry(self, connection: EntryConnection) -> None:
        hello = decode(await connection.websocket.recv())
        if not isinstance(hello, Hello):
            raise MessageInvalid(
                'expected Hello as the first message of the entry'
            )
        connection.host = hello.host
        # Before the load in the welcome is read, so that no later report of it
        # is missed.
        self.connections.add(connection)
        await connection.websocket.send(encode(self.welcome()))
        await self._exchange_messages(connection, hello)

    async def _exchange_messages(
        self, connection: EntryConnection, hello: Hello
    ) -> None:
        writer = asyncio.create_task(connection.send_queued())
        self.on_message(connection, hello)
        try:
            async for frame in connection.websocket:
                self.on_message(connection, decode(frame))
        finally:
            self.connections.discard(connection)
            writer.cancel()
            self.on_lost(connection)

    async def _handle_http_request(
        self,
        connection: ServerConnection,
        request: Request,
    ) -> Response | None:
        if 'Upgrade' in request.headers:
            return None
        if request.path != '/state':
            return connection.respond(http.HTTPStatus.NOT_FOUND, 'not found\n')
        loop = asyncio.get_running_loop()
        try:
            state = await loop.run_in_executor(None, self.dump)
        except ServiceUnavailable as error:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            return connection.respond(status, f'{error}\n')
        return connection.respond(http.HTTPStatus.OK, json.dumps(state))
