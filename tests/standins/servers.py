"""HTTP server that the stand-ins share, with faults set at run time."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class RequestHandler(BaseHTTPRequestHandler):
    """Passes requests to the stand-in; ``POST /fault`` updates its faults."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def handle_one_request(self):
        try:
            super().handle_one_request()
        except ConnectionError:
            self.close_connection = True

    def log_message(self, *arguments):
        """Write no access log."""

    def read_body(self):
        if self.headers.get('Transfer-Encoding', '') == 'chunked':
            return self._read_chunked_body()
        return self.rfile.read(int(self.headers.get('Content-Length', 0)))

    def _read_chunked_body(self):
        content = b''
        while size := int(self.rfile.readline(), 16):
            content += self.rfile.read(size)
            self.rfile.readline()
        self.rfile.readline()
        return content

    def send_json(self, status, document, headers=()):
        content = json.dumps(document).encode()
        self.send_response(status)
        for name, text in headers:
            self.send_header(name, text)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    def send_chunk(self, content):
        self.wfile.write(b'%x\r\n%s\r\n' % (len(content), content))

    def _dispatch(self):
        if self.path == '/fault':
            self.server.stand_in.faults.update(json.loads(self.read_body()))
            self.send_json(200, self.server.stand_in.faults)
        else:
            self.server.stand_in.handle(self)

    do_GET = do_POST = do_PUT = do_DELETE = _dispatch  # noqa: N815


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore errors of connections that the caller closed."""


class StandInServer:
    """Base class of stand-ins; ``faults`` can change while it runs."""

    def __init__(self, port=0, **faults):
        self.faults = faults
        self.lock = threading.Lock()
        self.server = Server(('127.0.0.1', port), RequestHandler)
        self.server.stand_in = self
        self.address = '127.0.0.1:{0}'.format(self.server.server_port)

    def start(self):
        threading.Thread(
            target=self.server.serve_forever,
            args=(0.05,),
            daemon=True,
        ).start()
        return self

    def stop(self):
        self.server.shutdown()
        self.server.server_close()

    def apply_delay(self):
        time.sleep(self.faults.get('delay', 0))
