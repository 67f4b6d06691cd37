"""Cost of crash evidence for a gateway at the size of a large deployment.

One crash in each of the last 100 of 600 upstreams, four requests beside each
other at each; the prompts have six shared parts. A peer that is told of it keeps
as much. The baseline of the times is a table without evidence.
"""

import random
import time

import cbor2
import msgspec

from bench.figures import report
from primroseyoke.gateway.crash_detection import CrashDetector
from primroseyoke.gateway.evidence_sharing import (
    _GOSSIP_INTERVAL_SECONDS,
    _GOSSIP_PEER_COUNT,
    _MAX_MESSAGE_REQUESTS,
)
from primroseyoke.gateway.requests import Body, CallerRequest
from primroseyoke.gateway.upstreams import Upstream, UpstreamRegistry

HOST_COUNT = 390
UPSTREAM_COUNT = 600
CRASH_COUNT = 100
REQUESTS_PER_CRASH = 4
PARTS_PER_REQUEST = 6
REPEAT_COUNT = 2000
BODY = b'x' * 4096


def new_request(generator):
    parts = ['style', *(f'{generator.getrandbits(40):x}' for _ in range(5))]
    return CallerRequest(
        'POST',
        '/x',
        '/x',
        'h',
        (),
        f'{generator.getrandbits(60):x}',
        body=Body((BODY,)),
        prompt_parts=tuple(parts),
    )


def seconds_per_call(function, count):
    started = time.perf_counter()
    for _ in range(count):
        function()
    return (time.perf_counter() - started) / count


class Gateway:
    """The detector of one gateway, with or without evidence."""

    def __init__(self, crash_count):
        self.generator = random.Random(1)
        self.registry = UpstreamRegistry()
        for number in range(UPSTREAM_COUNT):
            self.registry.put(Upstream(f'u-{number}', 's', 'h', 1, 'z'))
        self.detector = CrashDetector(self.registry, self.generator)
        self.upstream = self.registry.upstreams['u-599']
        for number in range(crash_count):
            self.record_crash(number)

    def record_crash(self, number):
        candidates = [
            self.detector.start(
                self.upstream, new_request(self.generator), 's', 'c'
            )
            for _ in range(REQUESTS_PER_CRASH)
        ]
        self.detector.suspects.record_crash(
            f'u-{number}', [candidate.traits for candidate in candidates], 1000
        )
        for candidate in candidates:
            self.detector.end(candidate)

    def serve_request(self):
        """Do what is done for each sound request."""
        request = new_request(self.generator)
        self.detector.refusal_delay(request, 's', 'c')
        candidate = self.detector.start(self.upstream, request, 's', 'c')
        self.detector.record_sound(candidate)


def main():
    without = Gateway(0)
    loaded = Gateway(CRASH_COUNT)
    times = [
        seconds_per_call(gateway.serve_request, REPEAT_COUNT) * 1e6
        for gateway in (without, loaded)
    ]
    report('crash_evidence_request_time', times[1], 'us', times[0])
    crash_time = seconds_per_call(lambda: loaded.record_crash(0), 20)
    report('crash_evidence_crash_time', crash_time * 1e3, 'ms')
    summary = loaded.detector.suspects.snapshot(1000, _MAX_MESSAGE_REQUESTS)
    size = len(cbor2.dumps(msgspec.to_builtins(summary)))
    rate = size * _GOSSIP_PEER_COUNT / _GOSSIP_INTERVAL_SECONDS
    report('crash_evidence_gossip', rate, 'bytes/s and host')
    report(
        'crash_evidence_broadcast',
        size * (HOST_COUNT - 1) / _MAX_MESSAGE_REQUESTS,
        'bytes/crash report, sent once to all',
    )


if __name__ == '__main__':
    main()
