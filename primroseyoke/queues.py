"""Waiting queue of one upstream, fair between clients."""

import collections
import dataclasses
import heapq
import itertools
from collections.abc import Callable
from typing import Any

__all__ = ('Ticket', 'WaitingQueue')

# A heap is rebuilt once it exceeds twice its size after the last rebuild by
# this many entries, which bounds the memory of stale entries.
_REBUILD_SLACK_COUNT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that waits for admission.

    ``reserved_bytes`` is the memory that it reserves at the upstream,
    ``deadline`` the monotonic time in seconds at which it expires. An
    ``exclusive`` ticket starts only while nothing else is running, and nothing
    else starts while it is running.
    """

    attempt: int
    client: str
    reserved_bytes: int
    deadline: float
    idempotent: bool = True
    exclusive: bool = False


class _LazyHeap:
    """Heap of items with changing ranks; stale entries are discarded lazily."""

    def __init__(self, rank: Callable[[Any], Any]) -> None:
        """Order by ``rank(item)``, which is None for a removed item."""
        self.rank = rank
        self.entries: list[tuple[Any, Any]] = []
        self.max_entries = _REBUILD_SLACK_COUNT

    def update(self, item: Any) -> None:
        """Add an item, or update its rank."""
        rank = self.rank(item)
        if rank is None:
            return
        heapq.heappush(self.entries, (rank, item))
        if len(self.entries) > self.max_entries:
            self.entries = sorted(
                {entry for entry in self.entries if self._is_current(entry)},
            )
            self.max_entries = 2 * len(self.entries) + _REBUILD_SLACK_COUNT

    def peek(self) -> Any:
        """Return the item with the lowest rank, None if the heap is empty."""
        while self.entries:
            if self._is_current(self.entries[0]):
                return self.entries[0][1]
            heapq.heappop(self.entries)
        return None

    def _is_current(self, entry: tuple[Any, Any]) -> bool:
        return bool(self.rank(entry[1]) == entry[0])


class _PriorityClass:
    """Waiting tickets of one priority class, by client in order of arrival."""

    def __init__(self, rank: Callable[[str], tuple[int, int]]) -> None:
        self.clients: dict[str, collections.OrderedDict[int, Ticket]] = {}
        self.next_client = _LazyHeap(
            lambda client: rank(client) if client in self.clients else None,
        )
        self.largest_client = _LazyHeap(
            lambda client: -self.size(client) or None
        )

    def size(self, client: str) -> int:
        return len(self.clients.get(client, ()))

    def put(self, ticket: Ticket) -> None:
        tickets = self.clients.setdefault(
            ticket.client,
            collections.OrderedDict(),
        )
        tickets[ticket.attempt] = ticket
        self.update(ticket.client)

    def remove(self, ticket: Ticket) -> None:
        tickets = self.clients[ticket.client]
        tickets.pop(ticket.attempt)
        if not tickets:
            self.clients.pop(ticket.client)
        self.update(ticket.client)

    def update(self, client: str) -> None:
        self.next_client.update(client)
        self.largest_client.update(client)


class WaitingQueue:
    """Orders waiting tickets: non-idempotent first, then by client, then age.

    The client with the fewest running requests comes first, then the one that
    was served least recently. The second rule matters at a concurrency limit of
    1: nothing is running when the next ticket is chosen, and by arrival order
    alone a client with a long queue would block all others. Each operation
    takes logarithmic time in the number of tickets.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.tickets: dict[int, Ticket] = {}
        self.running_by_client: collections.Counter[str] = collections.Counter()
        self.last_served: dict[str, int] = {}
        self.sequence = itertools.count(1)
        self.classes = {
            idempotent: _PriorityClass(self._rank)
            for idempotent in (False, True)
        }
        self.deadlines = _LazyHeap(self._deadline)

    def put(self, ticket: Ticket) -> None:
        """Add a ticket."""
        self.last_served.setdefault(ticket.client, next(self.sequence))
        self.tickets[ticket.attempt] = ticket
        self.classes[ticket.idempotent].put(ticket)
        self.deadlines.update(ticket.attempt)

    def remove(self, attempt: int) -> Ticket:
        """Remove a ticket."""
        ticket = self.tickets.pop(attempt)
        self.classes[ticket.idempotent].remove(ticket)
        self._drop_idle(ticket.client)
        return ticket

    def peek(self) -> Ticket | None:
        """Return the next ticket to start, None if the queue is empty."""
        for priority_class in self.classes.values():
            client = priority_class.next_client.peek()
            if client is not None:
                return next(iter(priority_class.clients[client].values()))
        return None

    def start(self, attempt: int) -> Ticket:
        """Remove a ticket and count it as running."""
        ticket = self.tickets[attempt]
        self.running_by_client[ticket.client] += 1
        self.last_served[ticket.client] = next(self.sequence)
        self.remove(attempt)
        self._update(ticket.client)
        return ticket

    def finish(self, client: str) -> None:
        """Count a running request of a client as ended."""
        self.running_by_client[client] -= 1
        self._update(client)
        self._drop_idle(client)

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the tickets whose deadline has passed."""
        expired = []
        attempt = self.deadlines.peek()
        while attempt is not None and self.tickets[attempt].deadline <= now:
            expired.append(self.remove(attempt))
            attempt = self.deadlines.peek()
        return expired

    def replace(self, ticket: Ticket) -> None:
        """Replace a waiting ticket without changing its position."""
        self.tickets[ticket.attempt] = ticket
        priority_class = self.classes[ticket.idempotent]
        priority_class.clients[ticket.client][ticket.attempt] = ticket

    def displaced_by(self, ticket: Ticket) -> Ticket | None:
        """Return the waiting ticket that a new one displaces from a full queue.

        It is the newest ticket of the client with the most waiting tickets. A
        non-idempotent ticket displaces any idempotent one. Within a priority
        class, that client must have at least two more tickets than the client
        of the new one, otherwise two clients would displace each other in turn.
        """
        priority_class = self.classes[True]
        if not ticket.idempotent and not priority_class.clients:
            priority_class = self.classes[False]
        client = priority_class.largest_client.peek()
        if client is None:
            return None
        same_class = priority_class is self.classes[ticket.idempotent]
        if (
            same_class
            and priority_class.size(client)
            <= priority_class.size(ticket.client) + 1
        ):
            return None
        return next(reversed(priority_class.clients[client].values()))

    def _rank(self, client: str) -> tuple[int, int]:
        return (self.running_by_client[client], self.last_served[client])

    def _deadline(self, attempt: int) -> float | None:
        ticket = self.tickets.get(attempt)
        return None if ticket is None else ticket.deadline

    def _update(self, client: str) -> None:
        for priority_class in self.classes.values():
            priority_class.update(client)

    def _drop_idle(self, client: str) -> None:
        waiting = any(
            priority_class.size(client)
            for priority_class in self.classes.values()
        )
        if not waiting and not self.running_by_client[client]:
            self.running_by_client.pop(client, None)
            self.last_served.pop(client)
