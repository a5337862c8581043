#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests. Ends in "N passed, N failed".
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
scripts/build.sh
exec python3 scripts/run_tests.py "${SNIPEFALL_BUILD_DIR:-build}"
