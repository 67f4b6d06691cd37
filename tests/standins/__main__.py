"""Runs one stand-in as a process: ``python -m tests.standins KIND PORT JSON``."""

import json
import sys
import threading

from tests.standins.hostlist import HostList
from tests.standins.logservice import LogService
from tests.standins.upstreams import Engine, PlainService

KINDS = {
    'logservice': LogService,
    'hostlist': HostList,
    'engine': Engine,
    'plain': PlainService,
}


def main():
    kind, port, faults = sys.argv[1:]
    KINDS[kind](int(port), **json.loads(faults)).start()
    threading.Event().wait()


if __name__ == '__main__':
    main()
