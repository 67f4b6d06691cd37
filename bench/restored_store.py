"""Calls to a store that comes back from an older copy, by number of hosts."""

import asyncio
import logging

from bench.figures import report
from tests.standins.topic_hosts import System, run_system

HOST_COUNTS = (9, 45, 99, 390)
OUTAGE_SECONDS = 2
OBSERVED_SECONDS = 3


async def measure(system: System) -> None:
    hosts = system.hosts.values()
    await system.update_delay('lost')
    system.store.away_for = set(system.hosts)
    await asyncio.sleep(OUTAGE_SECONDS)
    system.store.restore(1)
    system.store.away_for = set()
    listings = sum(host.consumer.listing_count for host in hosts)
    fetches = sum(host.sharing.fetches for host in hosts)
    calls = await system.calls_in(OBSERVED_SECONDS)
    listings = sum(host.consumer.listing_count for host in hosts) - listings
    fetches = sum(host.sharing.fetches for host in hosts) - fetches
    name = f'restored_{len(system.hosts)}_hosts'
    report(f'{name}_calls_in_{OBSERVED_SECONDS}_s', calls, 'calls')
    report(f'{name}_listings', listings, 'listings')
    report(f'{name}_fetches_from_hosts', fetches, 'fetches')
    report(f'{name}_update_delay', await system.update_delay('new'), 's')


def main() -> None:
    logging.disable(logging.WARNING)
    for count in HOST_COUNTS:
        run_system(measure, count)
