#!/bin/sh
# Prepares what the scripts of review/6 to review/10 start besides the programs of the deploy file: stand-ins in Python, which need no compiler.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 or later is needed")'
for source in stand_ins_2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ ! -e "$source" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
done
test -x ../target/bin/snipefalld || { echo "target/bin/snipefalld is missing: build by deploy/system.toml first" >&2; exit 1; }
