#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs of the standard library only (review/stand_ins_3), so
# there is nothing to compile; this checks that they can run beside the programs that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "stand_ins_3"); import small_platform'
test -x ../target/bin/snipefalld || { echo "target/bin/snipefalld is missing: run the build of deploy/system.toml first" >&2; exit 1; }
