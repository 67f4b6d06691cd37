"""Runs one stand-in: ``python -m tests.standins KIND PORT FAULTS_AS_JSON``."""

import json
import sys
import threading

from tests.standins.host_list import HostList
from tests.standins.log_service import LogService
from tests.standins.upstreams import Engine, PlainService

KINDS = {
    'log_service': LogService,
    'host_list': HostList,
    'engine': Engine,
    'plain': PlainService,
}


def main():
    kind, port, faults = sys.argv[1:]
    KINDS[kind](int(port), **json.loads(faults)).start()
    threading.Event().wait()


if __name__ == '__main__':
    main()
