"""Stand-in for the log service, in memory.

Faults: ``down`` (refuses with 503), ``delay`` (seconds), ``lose_answers`` (number
of appends that take effect and whose answer is lost), ``expired`` (per stream,
the offset below which records are gone).
"""

import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from tests.standins.servers import Standin


class LogService(Standin):
    def __init__(self, port=0, **faults):
        super().__init__(port, **faults)
        self.streams = {}

    def handle(self, handler):
        content = handler.body()
        self.delay()
        if self.faults.get('down'):
            handler.reply(503, {'error': 'down'})
            return
        url = urlsplit(handler.path)
        name = unquote(url.path.removeprefix('/streams/'))
        if handler.command == 'POST':
            self._append(handler, name, json.loads(content))
        else:
            self._read(handler, name, parse_qs(url.query))

    def _append(self, handler, name, content):
        with self.lock:
            stream = self.streams.setdefault(name, [])
            appended_at = time.time()
            if stream:
                appended_at = max(appended_at, stream[-1]['appended_at'])
            record = {
                'offset': len(stream),
                'appended_at': appended_at,
                'content': content,
            }
            stream.append(record)
            lose = self.faults.get('lose_answers', 0) > 0
            if lose:
                self.faults['lose_answers'] -= 1
        if lose:
            handler.close_connection = True
            return
        handler.reply(
            200,
            {'offset': record['offset'], 'appended_at': appended_at},
        )

    def _read(self, handler, name, query):
        first = self.faults.get('expired', {}).get(name, 0)
        start = max(int(query['from'][0]), first)
        end = start + int(query['limit'][0])
        stream = self.streams.get(name, [])
        handler.reply(
            200,
            {
                'records': stream[start:end],
                'first': first,
                'next': len(stream),
                'now': time.time(),
            },
        )
