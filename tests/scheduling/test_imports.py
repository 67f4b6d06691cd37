"""Dependencies between packages and between the modules of a request."""

import subprocess
import sys

IMPORT_SCHEDULING = """
import sys
import primroseyoke.scheduling.admission
assert 'asyncio' not in sys.modules
assert not [name for name in sys.modules if 'primroseyoke.gateway' in name]
"""
IMPORT_SLOTS = """
import sys
import primroseyoke.gateway.slot_acquisition
assert 'primroseyoke.gateway.proxy' not in sys.modules
assert 'primroseyoke.gateway.request_forwarding' not in sys.modules
"""


def test_scheduling_imports_nothing_of_the_gateway():
    """Guards against decisions that depend on sockets or an event loop."""
    subprocess.run([sys.executable, '-c', IMPORT_SCHEDULING], check=True)


def test_slots_are_acquired_without_the_proxy():
    """Guards against the import cycle of the proxy and its parts."""
    subprocess.run([sys.executable, '-c', IMPORT_SLOTS], check=True)
