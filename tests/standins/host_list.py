"""Stand-in for the platform's host list, whose content can be stale.

Settings: ``hosts`` (the rows), ``lag`` (seconds between refreshes of the rows
that are returned).
"""

import time

from tests.standins.servers import StandInServer


class HostList(StandInServer):
    def __init__(self, port=0, **faults):
        super().__init__(port, **faults)
        self.visible_hosts = faults.get('hosts', [])
        self.refreshed_at = 0

    def handle(self, handler):
        handler.read_body()
        if time.monotonic() >= self.refreshed_at + self.faults.get('lag', 0):
            self.refreshed_at = time.monotonic()
            self.visible_hosts = self.faults.get('hosts', [])
        handler.send_json(200, {'hosts': self.visible_hosts})
