"""Batches of reports that are passed on."""

from collections.abc import Iterable

from primroseyoke.gateway.peer_reports import (
    Batch,
    Report,
    encode_message,
)
from primroseyoke.gateway.report_relay import ReportRelay

# Larger datagrams are fragmented also on loopback and may not be sent at all.
MAX_DATAGRAM_BYTES = 9000


def busy_report(number: int) -> Report:
    """Return a heartbeat of a host with much to tell."""
    return Report(
        f'edge-hr-kontinent-{number}',
        {f'i-{number:08x}{each:02x}': 3 for each in range(8)},
        availability_zone='hr-kontinent-a',
        sequence=1_000_000,
        waiting={'nacrt-model': {0: 3, 11: 4, 12: 5}},
        clients={f'client-{each:06}': 40 for each in range(12)},
        work={f'i-{number:08x}{each:02x}': 1200 for each in range(8)},
        pass_costs={'g0-0': 210, 'g0-1': 240},
    )


def test_batches_of_large_heartbeats_fit_in_a_datagram() -> None:
    """Guards against datagrams of 15 KB when 32 heartbeats are due at once."""
    sent: list[Batch] = []

    def send(batch: Batch, addresses: Iterable[str]) -> None:
        sent.append(batch)

    relay = ReportRelay(send)
    for number in range(99):
        relay.add(f'10.0.0.{number}', busy_report(number), is_local=True)
    relay.flush({'a': ['10.0.0.1'], 'b': ['10.1.0.1']}, 'a')
    own_zone = [batch for batch in sent if not batch.pass_on]
    assert sum(len(batch.reports) for batch in own_zone) == 99
    assert max(len(encode_message(batch)) for batch in sent) < (
        MAX_DATAGRAM_BYTES
    )
    assert max(len(batch.reports) for batch in sent) <= 32
