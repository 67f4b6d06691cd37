"""Stand-ins for upstreams: a model engine and a plain service.

Faults: ``delay`` (seconds before the answer), ``capacity`` (requests it bears
when warm), ``cold_capacity`` (when cold), ``warm_after`` (completions until it
is warm), ``token_delay`` (seconds), ``tokens`` (per answer), ``cut_after``
(tokens after which it breaks off), ``poison`` (text that crashes it).
"""

import json
import time
import uuid

from tests.standins.servers import Standin


class Upstream(Standin):
    """Falls over when it gets more than it bears: it crashes and is cold."""

    def __init__(self, port=0, **faults):
        super().__init__(port, **faults)
        self.highest = 0
        self.crashes = 0
        self.calls = []
        self._restart()

    def _restart(self):
        self.incarnation = uuid.uuid4().hex
        self.started = time.monotonic()
        self.running = 0
        self.completed = 0

    def handle(self, handler):
        content = handler.body()
        if handler.path == '/load':
            handler.reply(200, self.load())
        elif handler.path == '/calls_count':
            handler.reply(200, self.completed)
        elif handler.path == '/calls':
            handler.reply(200, self.calls)
        else:
            self._run(handler, content)

    def load(self):
        return {
            'incarnation': self.incarnation,
            'uptime': time.monotonic() - self.started,
            'running': self.running,
        }

    def capacity(self):
        warm = self.completed >= self.faults.get('warm_after', 0)
        kind = 'capacity' if warm else 'cold_capacity'
        return self.faults.get(kind, 10**6)

    def crash(self):
        with self.lock:
            self.crashes += 1
            self._restart()

    def _run(self, handler, content):
        with self.lock:
            incarnation = self.incarnation
            self.running += 1
            self.highest = max(self.highest, self.running)
            overloaded = self.running > self.capacity()
        poison = self.faults.get('poison')
        if overloaded or (poison and poison.encode() in content):
            self.crash()
        try:
            if self.incarnation == incarnation:
                self.answer(handler, content)
        except ConnectionError:
            # The request was cancelled: its memory is free again.
            with self.lock:
                self.running -= self.incarnation == incarnation
            raise
        if self.incarnation != incarnation:
            # Everything that ran when the upstream crashed is cut.
            handler.close_connection = True
            return
        with self.lock:
            self.running -= 1
            self.completed += 1


class Engine(Upstream):
    """Model engine with server-sent events."""

    def answer(self, handler, content):
        document = json.loads(content)
        incarnation = self.incarnation
        words = ['{0} '.format(word) for word in range(self.token_count())]
        words.append(document['messages'][-1]['content'])
        self.delay()
        if not document.get('stream'):
            message = {'role': 'assistant', 'content': ''.join(words)}
            handler.reply(200, {'choices': [{'message': message}]})
            return
        handler.send_response(200)
        handler.send_header('Content-Type', 'text/event-stream')
        handler.send_header('Transfer-Encoding', 'chunked')
        handler.end_headers()
        for number, word in enumerate(words):
            if number == self.faults.get('cut_after'):
                self.crash()
            if self.incarnation != incarnation:
                return
            handler.chunk(_event(word))
            time.sleep(self.faults.get('token_delay', 0))
        handler.chunk(b'data: [DONE]\n\n')
        handler.wfile.write(b'0\r\n\r\n')

    def token_count(self):
        return self.faults.get('tokens', 20)


class PlainService(Upstream):
    """Plain service that remembers each call that it executed."""

    def answer(self, handler, content):
        self.delay()
        with self.lock:
            self.calls.append([handler.command, handler.path, content.decode()])
            count = len(self.calls)
        handler.reply(
            200,
            {'number': count, 'path': handler.path, 'echo': content.decode()},
        )


def _event(word):
    delta = {'index': 0, 'delta': {'content': word}, 'finish_reason': None}
    document = {
        'id': 'chatcmpl-1',
        'object': 'chat.completion.chunk',
        'created': 1700000000,
        'model': 'standin',
        'choices': [delta],
    }
    return b'data: ' + json.dumps(document).encode() + b'\n\n'
