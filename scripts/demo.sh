#!/usr/bin/env bash
# Installs what is missing, builds, and shows the whole path on this machine.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
scripts/build.sh
exec python3 scripts/demo.py "${SNIPEFALL_BUILD_DIR:-build}"
