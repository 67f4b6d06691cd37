"""In-memory stand-in for the log service.

Faults: ``down`` (responds with status 503), ``delay`` (seconds before each
response), ``drop_responses`` (number of appends that are stored but whose
connection is closed without a response), ``expired`` (by stream, the offset
below which records have expired), ``restored`` (number of records of each
stream in an older copy, from which the log comes back in a new era).
"""

import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from tests.standins.servers import StandInServer


class LogService(StandInServer):
    def __init__(self, port=0, **faults):
        super().__init__(port, **faults)
        self.streams = {}
        self.era = 0

    def _restore(self):
        with self.lock:
            counts = self.faults.pop('restored', None)
            if counts is not None:
                self.era += 1
                for stream, count in counts.items():
                    del self.streams.setdefault(stream, [])[count:]

    def handle(self, handler):
        content = handler.read_body()
        self.apply_delay()
        if self.faults.get('down'):
            handler.send_json(503, {'error': 'down'})
            return
        self._restore()
        url = urlsplit(handler.path)
        name = unquote(url.path.removeprefix('/streams/'))
        if handler.command == 'POST':
            self._append(handler, name, json.loads(content))
        else:
            self._read(handler, name, parse_qs(url.query))

    def _append(self, handler, name, content):
        with self.lock:
            records = self.streams.setdefault(name, [])
            appended_at = time.time()
            if records:
                appended_at = max(appended_at, records[-1]['appended_at'])
            record = {
                'offset': len(records),
                'appended_at': appended_at,
                'content': content,
            }
            records.append(record)
            drops_response = self.faults.get('drop_responses', 0) > 0
            if drops_response:
                self.faults['drop_responses'] -= 1
        if drops_response:
            handler.close_connection = True
            return
        handler.send_json(
            200,
            {'offset': record['offset'], 'appended_at': appended_at},
        )

    def _read(self, handler, name, query):
        first = self.faults.get('expired', {}).get(name, 0)
        start = max(int(query['from'][0]), first)
        end = start + int(query['limit'][0])
        records = self.streams.get(name, [])
        handler.send_json(
            200,
            {
                'records': records[start:end],
                'first': first,
                'next': len(records),
                'now': time.time(),
                'era': self.era,
            },
        )
