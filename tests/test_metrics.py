"""Metrics in the statsd protocol."""

import socket

from primroseyoke.metrics import Metrics
from primroseyoke.settings import Address


def test_metrics_reach_the_server():
    """Metrics must reach the server with the right type and unit."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        server.settimeout(2)
        address = Address(*server.getsockname())
        metrics = Metrics(address, 'entry.a')
        metrics.count('refused.503')
        metrics.gauge('running', 3)
        metrics.time('head', 0.25)
        found = [server.recv(100) for _ in range(3)]
    assert found[0] == b'entry.a.refused.503:1|c'
    assert found[1] == b'entry.a.running:3|g'
    assert found[2].startswith(b'entry.a.head:250')


def test_metrics_without_a_server_do_nothing():
    """A daemon must also run without a statsd server."""
    Metrics(Address('127.0.0.1', 0), 'entry.a').count('x')
