"""Waiting requests of one upstream in the order in which they may start."""

import collections
import dataclasses
import heapq
import itertools
from collections.abc import Callable
from typing import Any

__all__ = ('Ticket', 'WaitingQueue')

# A heap is rebuilt when it has this many entries more than twice its size
# after the last rebuild, so outdated entries take bounded memory.
_SPARE_ENTRIES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks for admission.

    ``held`` is the bytes that it reserves at the upstream, ``deadline`` the
    monotonic time in seconds at which it gives up. A ticket that is ``alone``
    starts only when nothing else runs, and nothing else starts beside it.
    """

    attempt: int
    client: str
    held: int
    deadline: float
    idempotent: bool = True
    alone: bool = False


class _LazyHeap:
    """Heap of items whose rank changes; outdated entries are skipped."""

    def __init__(self, rank: Callable[[Any], Any]) -> None:
        """Order by ``rank(item)``, which is None for an item that is gone."""
        self.rank = rank
        self.entries: list[tuple[Any, Any]] = []
        self.most_entries = _SPARE_ENTRIES

    def update(self, item: Any) -> None:
        """Take note of a new item or a new rank."""
        rank = self.rank(item)
        if rank is None:
            return
        heapq.heappush(self.entries, (rank, item))
        if len(self.entries) > self.most_entries:
            self.entries = sorted(
                {entry for entry in self.entries if self._is_current(entry)},
            )
            self.most_entries = 2 * len(self.entries) + _SPARE_ENTRIES

    def first(self) -> Any:
        """Return the item with the lowest rank, None if there is none."""
        while self.entries:
            if self._is_current(self.entries[0]):
                return self.entries[0][1]
            heapq.heappop(self.entries)
        return None

    def _is_current(self, entry: tuple[Any, Any]) -> bool:
        return bool(self.rank(entry[1]) == entry[0])


class _Group:
    """Waiting tickets of one class, by client and in order of arrival."""

    def __init__(self, rank: Callable[[str], tuple[int, int]]) -> None:
        self.clients: dict[str, collections.OrderedDict[int, Ticket]] = {}
        self.order = _LazyHeap(
            lambda client: rank(client) if client in self.clients else None,
        )
        self.largest = _LazyHeap(lambda client: -self.size(client) or None)

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
        self.order.update(client)
        self.largest.update(client)


class WaitingQueue:
    """Orders waiting tickets: non-idempotent first, then by client, then age.

    Among clients the one with the fewest running requests comes first, then
    the one that has waited longest since it was last admitted. The second
    rule matters while the limit is 1: nothing runs when the next ticket is
    chosen, and by age alone one client with a long queue would hold up all.
    Each operation takes logarithmic time in the number of tickets.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.tickets: dict[int, Ticket] = {}
        self.running: collections.Counter[str] = collections.Counter()
        self.turns: dict[str, int] = {}
        self.clock = itertools.count(1)
        self.groups = {
            idempotent: _Group(self._rank) for idempotent in (False, True)
        }
        self.deadlines = _LazyHeap(self._deadline)

    def put(self, ticket: Ticket) -> None:
        """Add a ticket."""
        self.turns.setdefault(ticket.client, next(self.clock))
        self.tickets[ticket.attempt] = ticket
        self.groups[ticket.idempotent].put(ticket)
        self.deadlines.update(ticket.attempt)

    def remove(self, attempt: int) -> Ticket:
        """Take out a ticket that does not start."""
        ticket = self.tickets.pop(attempt)
        self.groups[ticket.idempotent].remove(ticket)
        self._forget_idle(ticket.client)
        return ticket

    def first(self) -> Ticket | None:
        """Return the ticket that starts next."""
        for group in self.groups.values():
            client = group.order.first()
            if client is not None:
                return next(iter(group.clients[client].values()))
        return None

    def start(self, attempt: int) -> Ticket:
        """Take out a ticket that starts to run."""
        ticket = self.tickets[attempt]
        self.running[ticket.client] += 1
        self.turns[ticket.client] = next(self.clock)
        self.remove(attempt)
        self._update(ticket.client)
        return ticket

    def end(self, client: str) -> None:
        """Note that a running request of a client has ended."""
        self.running[client] -= 1
        self._update(client)
        self._forget_idle(client)

    def expire(self, now: float) -> list[Ticket]:
        """Take out and return the tickets whose deadline has passed."""
        expired = []
        attempt = self.deadlines.first()
        while attempt is not None and self.tickets[attempt].deadline <= now:
            expired.append(self.remove(attempt))
            attempt = self.deadlines.first()
        return expired

    def replace(self, ticket: Ticket) -> None:
        """Change a waiting ticket in its place."""
        self.tickets[ticket.attempt] = ticket
        group = self.groups[ticket.idempotent]
        group.clients[ticket.client][ticket.attempt] = ticket

    def displaced_by(self, ticket: Ticket) -> Ticket | None:
        """Return the waiting ticket that gives way to a new one.

        It is the newest of the client with the most waiting tickets. A
        non-idempotent ticket displaces any idempotent one; within a class the
        other client must hold at least two more than the new ticket's client,
        so that two clients do not displace each other in turn.
        """
        group = self.groups[True]
        if not ticket.idempotent and not group.clients:
            group = self.groups[False]
        client = group.largest.first()
        if client is None:
            return None
        same_class = group is self.groups[ticket.idempotent]
        if same_class and group.size(client) <= group.size(ticket.client) + 1:
            return None
        return next(reversed(group.clients[client].values()))

    def _rank(self, client: str) -> tuple[int, int]:
        return (self.running[client], self.turns[client])

    def _deadline(self, attempt: int) -> float | None:
        ticket = self.tickets.get(attempt)
        return None if ticket is None else ticket.deadline

    def _update(self, client: str) -> None:
        for group in self.groups.values():
            group.update(client)

    def _forget_idle(self, client: str) -> None:
        waiting = any(group.size(client) for group in self.groups.values())
        if not waiting and not self.running[client]:
            self.running.pop(client, None)
            self.turns.pop(client)
