"""Stand-in for the platform's host list, which lags.

Faults: ``hosts`` (the rows), ``lag`` (seconds until a change shows).
"""

import time

from tests.standins.servers import Standin


class HostList(Standin):
    def __init__(self, port=0, **faults):
        super().__init__(port, **faults)
        self.shown = faults.get('hosts', [])
        self.shown_at = 0

    def handle(self, handler):
        handler.body()
        if time.monotonic() >= self.shown_at + self.faults.get('lag', 0):
            self.shown_at = time.monotonic()
            self.shown = self.faults.get('hosts', [])
        handler.reply(200, {'hosts': self.shown})
