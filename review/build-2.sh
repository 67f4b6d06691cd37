#!/bin/sh
# The stand-ins are Python scripts that use the standard library alone, so there
# is nothing to build. This checks that the interpreter accepts them, and that
# the build of the deploy file is there.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.py [6-9]/play.py 10/play.py; do
    test -f "$file" || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -d ../target/deps || { echo 'build the deploy file first' >&2; exit 2; }
