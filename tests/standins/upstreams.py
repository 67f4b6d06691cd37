"""Stand-ins for upstreams: a model engine and a plain service.

Faults:

- ``delay``: seconds before the response.
- ``capacity``, ``cold_capacity``: concurrent requests that it runs without a
  crash when warm and when cold.
- ``warm_after_completions``: completed requests until it is warm.
- ``tokens``, ``token_delay``: tokens per answer, and seconds after each.
- ``crash_after_tokens``: tokens of an answer after which it crashes.
- ``poison``: text in a request that crashes it.
- ``close_reused_connections``: closes a connection at its second request,
  without executing it.
- ``drop_responses``: executes a request and closes the connection without a
  response.
"""

import json
import time
import uuid

from tests.standins.servers import StandInServer


class Upstream(StandInServer):
    """Base class; crashes above its capacity and is cold after that."""

    def __init__(self, port=0, **faults):
        super().__init__(port, **faults)
        self.peak_running = 0
        self.requests_started = 0
        self.crashes = 0
        self.executed_calls = []
        self._reset()

    def _reset(self):
        self.incarnation = uuid.uuid4().hex
        self.started_at = time.monotonic()
        self.running = 0
        self.completed = 0

    def handle(self, handler):
        content = handler.read_body()
        if handler.path == '/load':
            handler.send_json(200, self.load())
        elif handler.path == '/calls_count':
            handler.send_json(200, self.completed)
        elif handler.path == '/counts':
            names = ('crashes', 'peak_running', 'requests_started')
            handler.send_json(
                200, {name: getattr(self, name) for name in names}
            )
        elif handler.path == '/calls':
            handler.send_json(200, self.executed_calls)
        elif self.faults.get('close_reused_connections') and hasattr(
            handler, 'has_served_request'
        ):
            handler.close_connection = True
        else:
            handler.has_served_request = True
            self._execute(handler, content)

    def load(self):
        return {
            'incarnation': self.incarnation,
            'uptime': time.monotonic() - self.started_at,
            'running': self.running,
        }

    def capacity(self):
        warm = self.completed >= self.faults.get('warm_after_completions', 0)
        kind = 'capacity' if warm else 'cold_capacity'
        return self.faults.get(kind, 10**6)

    def crash(self):
        with self.lock:
            self.crashes += 1
            self._reset()

    def _execute(self, handler, content):
        with self.lock:
            incarnation = self.incarnation
            self.running += 1
            self.requests_started += 1
            self.peak_running = max(self.peak_running, self.running)
            overloaded = self.running > self.capacity()
        poison = self.faults.get('poison')
        if overloaded or (poison and poison.encode() in content):
            self.crash()
        self.apply_delay()
        is_answered = True
        if self.incarnation == incarnation:
            is_answered = self._send_answer(handler, content)
        if self.incarnation != incarnation:
            # The upstream crashed while this request ran.
            handler.close_connection = True
            return
        with self.lock:
            self.running -= 1
            self.completed += is_answered

    def _send_answer(self, handler, content):
        """Write the answer; return False if the caller has disconnected."""
        try:
            self.write_answer(handler, content)
        except ConnectionError:
            handler.close_connection = True
            return False
        return True


class Engine(Upstream):
    """Model engine that streams server-sent events."""

    def write_answer(self, handler, content):
        document = json.loads(content)
        incarnation = self.incarnation
        words = ['{0} '.format(word) for word in range(self.token_count())]
        words.append(document['messages'][-1]['content'])
        if not document.get('stream'):
            message = {'role': 'assistant', 'content': ''.join(words)}
            handler.send_json(200, {'choices': [{'message': message}]})
            return
        handler.send_response(200)
        handler.send_header('Content-Type', 'text/event-stream')
        handler.send_header('Transfer-Encoding', 'chunked')
        handler.end_headers()
        for number, word in enumerate(words):
            if number == self.faults.get('crash_after_tokens'):
                self.crash()
            if self.incarnation != incarnation:
                return
            handler.send_chunk(_event(word))
            time.sleep(self.faults.get('token_delay', 0))
        handler.send_chunk(b'data: [DONE]\n\n')
        handler.wfile.write(b'0\r\n\r\n')

    def token_count(self):
        return self.faults.get('tokens', 20)


class PlainService(Upstream):
    """Plain service that records each request that it executes."""

    def write_answer(self, handler, content):
        with self.lock:
            self.executed_calls.append(
                [handler.command, handler.path, content.decode()]
            )
            count = len(self.executed_calls)
        if self.faults.get('drop_responses'):
            handler.close_connection = True
            return
        handler.send_json(
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
