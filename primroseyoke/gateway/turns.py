"""Shares the event loop between connections that have much to read.

A peer chooses how many parts its bytes have: chunks of one byte, empty events,
records without content. Whoever handles them one by one lets other tasks run
after a bounded number, however many have been received.
"""

import asyncio

__all__ = ('PARTS_PER_TURN', 'TurnCounter')

# A part takes up to some tens of microseconds, so other tasks wait for about a
# millisecond.
PARTS_PER_TURN = 64


class TurnCounter:
    """Lets other tasks run after each ``PARTS_PER_TURN`` parts.

    Attributes:
        part_count: number of parts so far.
    """

    def __init__(self) -> None:
        """Start with the first part."""
        self.part_count = 0

    async def count_part(self) -> None:
        """Count a part that is about to be handled."""
        self.part_count += 1
        if self.part_count % PARTS_PER_TURN == 0:
            await asyncio.sleep(0)
