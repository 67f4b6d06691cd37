"""Tells the host that makes the usage reports the counts of this host.

Each host sends its counts to the host that holds the duty lease and to the host
that would follow it: the active host with the lowest other address claims the
lease first. Counts are sent when they have changed and once again with the next
message; a receiver asks for windows whose sum differs from what it was told.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Iterator

import msgspec

from .membership import LEADERSHIP_TIMEOUT_SECONDS
from .peer_reports import UsageMessage
from .peers import PeerReporter
from .usage_counts import UsageCounter, WindowCounts
from .usage_ledger import UsageLedger

__all__ = ('UsageSharing',)

log = logging.getLogger(__name__)

# A host that crashes loses the counts of this time at most.
_SEND_INTERVAL_SECONDS = 0.5
# A changed count is sent this often, so that one lost datagram before a crash
# loses no counts.
_SENDS_PER_CHANGE = 2
# The last message of a host that stops can't be asked for again. With two copies
# and a loss of 0.05, one of 10 trials had its window reported 7 s late.
_SENDS_AT_EXIT = 3
# A holder and one possible successor, or two if there is no holder.
_TARGET_COUNT = 2
# Size of a datagram that is not fragmented, less what a message contains beside
# its counts: the process, the time and the sums of up to 8 windows.
_MAX_COUNTS_BYTES = 1200 - 330
# CBOR: a number of a window and the header of its counts.
_WINDOW_BYTES = 12
# CBOR: the header of a name and a count below 2**32.
_COUNT_BYTES = 8
# Datagrams to one host within one interval. A host with 4,300 accounts in each
# of three windows sends all of them to a new holder within 3 s.
_MAX_DATAGRAMS = 40
_MS_PER_SECOND = 1000

#: A window and a client account.
Key = tuple[int, str]


class UsageSharing:
    """Sends the counts of this host and receives those of its peers.

    Attributes:
        pending: counts that each receiver needs, with the number of times
            that they are to be sent.
        is_holder: tells whether this host holds the duty lease.
    """

    def __init__(
        self,
        counter: UsageCounter,
        ledger: UsageLedger,
        reporter: PeerReporter,
        is_holder: Callable[[], bool],
    ) -> None:
        """Exchange counts with the peers of ``reporter``."""
        self.counter = counter
        self.ledger = ledger
        self.reporter = reporter
        self.is_holder = is_holder
        self.pending: dict[str, dict[Key, int]] = {}
        reporter.on_usage = self.receive

    async def run(self) -> None:
        """Send counts until cancelled."""
        while True:
            await asyncio.sleep(_SEND_INTERVAL_SECONDS)
            self.send()

    def receive(self, message: UsageMessage, address: str) -> None:
        """Merge counts of a peer, or note that it needs windows again."""
        self.ledger.merge(message, address)
        pending = self.pending.get(address)
        if pending is not None:
            for window in message.missing:
                for client in self.counter.counts.get(window, ()):
                    pending.setdefault((window, client), 1)

    def send(self, final: bool = False) -> None:
        """Send what has changed; ``final`` if no request will be counted."""
        self.counter.expire()
        self.ledger.update()
        self._note_changes(self.targets())
        for address, pending in self.pending.items():
            for message in self._messages(pending, final):
                self.reporter.send_usage(message, [address])
        self._request_missing()

    def announce_exit(self) -> None:
        """Send the last counts, several times as datagrams can be lost."""
        for _ in range(_SENDS_AT_EXIT):
            self.send(final=True)

    def targets(self) -> list[str]:
        """Return the addresses of the hosts that need the counts."""
        reporter = self.reporter
        peers = reporter.peers
        present = reporter.reported_within(LEADERSHIP_TIMEOUT_SECONDS)
        leases = {address: peers[address].lease for address in present}
        candidates = [
            address for address in present if not peers[address].draining
        ]
        if not reporter.draining:
            candidates.append(reporter.address)
        chosen: list[str] = []
        if self.is_holder():
            chosen = [reporter.address]
        elif any(leases.values()):
            chosen = [max(leases, key=leases.__getitem__)]
        for candidate in sorted(candidates):
            if candidate not in chosen and len(chosen) < _TARGET_COUNT:
                chosen.append(candidate)
        return [address for address in chosen if address != reporter.address]

    def _note_changes(self, targets: Iterable[str]) -> None:
        changes = self.counter.take_changes()
        previous = self.pending
        self.pending = {}
        for address in targets:
            pending = previous.get(address)
            if pending is None:
                pending = dict.fromkeys(_keys(self.counter.counts), 1)
            for key in changes:
                pending[key] = _SENDS_PER_CHANGE
            self.pending[address] = pending

    def _messages(
        self, pending: dict[Key, int], final: bool
    ) -> Iterator[UsageMessage]:
        """Return the messages to one host; the last one has the sums."""
        clock = self.counter.clock
        empty = UsageMessage(
            self.ledger.run, {}, time=int(clock.now() * _MS_PER_SECOND)
        )
        parts = list(_split(self._take(pending))) or [{}]
        for part in parts[_MAX_DATAGRAMS:]:
            pending.update(dict.fromkeys(_keys(part), 1))
        for part in parts[: min(len(parts) - 1, _MAX_DATAGRAMS)]:
            yield msgspec.structs.replace(empty, usage=part)
        if len(parts) <= _MAX_DATAGRAMS:
            yield msgspec.structs.replace(
                empty,
                usage=parts[-1],
                completed=self._completed(final),
                totals=self.counter.totals(),
            )

    def _completed(self, final: bool) -> int:
        if final:
            return self.counter.windows.at(self.counter.clock.now())
        return self.counter.completed()

    def _take(self, pending: dict[Key, int]) -> WindowCounts:
        """Return the counts to send, oldest window first."""
        taken: WindowCounts = {}
        for key in sorted(pending):
            window, client = key
            count = self.counter.counts.get(window, {}).get(client)
            if count is not None:
                taken.setdefault(window, {})[client] = count
            pending[key] -= 1
            if count is None or not pending[key]:
                pending.pop(key)
        return taken

    def _request_missing(self) -> None:
        """Ask for counts that were lost on their way."""
        for address, missing in self.ledger.missing():
            message = UsageMessage(self.ledger.run, {}, missing=missing)
            self.reporter.send_usage(message, [address])


def _keys(counts: WindowCounts) -> Iterator[Key]:
    for window, clients in counts.items():
        for client in clients:
            yield window, client


def _split(counts: WindowCounts) -> Iterator[WindowCounts]:
    """Split counts into parts that fit into a datagram each."""
    part: WindowCounts = {}
    size = 0
    for window, clients in counts.items():
        size += _WINDOW_BYTES
        for client, count in clients.items():
            added = len(client.encode()) + _COUNT_BYTES
            if part and size + added > _MAX_COUNTS_BYTES:
                yield part
                part = {}
                size = _WINDOW_BYTES
            part.setdefault(window, {})[client] = count
            size += added
    if part:
        yield part
