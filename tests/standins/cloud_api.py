"""Stand-in of the platform's API for usage reports and scaling orders."""

import asyncio
import collections
import dataclasses
import json
import random

from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from tests.standins.platform import StandInUpstream

# Below and above the timeout of a call, which is 0.5 s.
LATE_SECONDS = (0.2, 0.8)


@dataclasses.dataclass
class ApiCall:
    """A call in the order of arrival; ``accepted`` if it took effect."""

    path: str
    holder: str
    fencing_number: int
    content: dict[str, object]
    accepted: bool


class FaultyApi(StandInUpstream):
    """Records calls; a share of them fails in one of three ways.

    A call is answered with 429, or it takes effect and its response is late
    or lost.
    """

    def __init__(self, generator: random.Random, fault_share: float) -> None:
        super().__init__('api', self._respond)
        self.generator = generator
        self.fault_share = fault_share
        self.calls: list[ApiCall] = []

    async def _respond(
        self,
        upstream: StandInUpstream,
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        fault = ''
        if self.generator.random() < self.fault_share:
            fault = self.generator.choice(('busy', 'late', 'lost'))
        headers = dict(request.headers)
        self.calls.append(
            ApiCall(
                request.path,
                headers[b'x-primroseyoke-duty-holder'].decode(),
                int(headers[b'x-primroseyoke-fence-token']),
                json.loads(bytes(request.body)),
                accepted=fault != 'busy',
            )
        )
        if fault == 'lost':
            response.abort()
            return
        if fault == 'late':
            await asyncio.sleep(self.generator.uniform(*LATE_SECONDS))
        response.respond(429 if fault == 'busy' else 200, (), b'{}')

    def reported_windows(self) -> dict[int, list[dict[str, int]]]:
        """Return the different counts that were accepted, by window."""
        windows: dict[int, list[dict[str, int]]] = {}
        for call in self.calls:
            if call.path == '/usage' and call.accepted:
                known = windows.setdefault(call.content['windowId'], [])
                if call.content['counts'] not in known:
                    known.append(call.content['counts'])
        return windows

    def violations(self) -> list[str]:
        """Return the promises about the calls that were broken."""
        broken = [
            f'window {window}: accepted with different counts {counts}'
            for window, counts in self.reported_windows().items()
            if len(counts) > 1
        ]
        holders: dict[int, set[str]] = collections.defaultdict(set)
        highest = 0
        for number, call in enumerate(self.calls):
            if call.fencing_number < highest:
                broken.append(
                    f'API call {number} of {call.holder}: fencing number '
                    f'{call.fencing_number} after {highest}'
                )
            highest = max(highest, call.fencing_number)
            holders[call.fencing_number].add(call.holder)
        broken.extend(
            f'fencing number {number}: used by {sorted(names)}'
            for number, names in holders.items()
            if len(names) > 1
        )
        return broken
