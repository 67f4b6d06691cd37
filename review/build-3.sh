#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start. They are Python
# modules of the standard library, run from source: this only checks them.
cd "$(dirname "$0")" && exec python3 - <<'PYTHON'
import glob

for path in sorted(glob.glob('lib-3/*.py') + glob.glob('1[1-5]/*.py')):
    with open(path, encoding='utf-8') as source:
        compile(source.read(), path, 'exec')
PYTHON
