"""The public names that other programs import."""

import subprocess
import sys

import primroseyoke

LIBRARY_EXAMPLE = """
import sys, threading
from primroseyoke import *
from primroseyoke.admission import Limits, Ticket, UpstreamLoad
admission = Admission(Limits(cold_limit=1))
admission.observe_load(UpstreamLoad('a', uptime=5.0, running=0), requested_at=0)
admission.enqueue(Ticket(1, 'client', reserved_bytes=1000, deadline=9))
assert len(admission.advance(now=0)[0]) == 1
assert RetryBudget(rate=1, burst=1).spend('client', now=0)
assert threading.active_count() == 1
assert not {'asyncio', 'pykka', 'cheroot', 'urllib3'} & set(sys.modules)
"""


def test_exported_names_can_be_imported():
    """Guards against a name in __all__ that cannot be imported."""
    assert all(getattr(primroseyoke, name) for name in primroseyoke.__all__)


def test_import_starts_no_threads_or_network_libraries():
    """Library modules must not start threads or load network code."""
    subprocess.run([sys.executable, '-c', LIBRARY_EXAMPLE], check=True)
