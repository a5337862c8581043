#!/usr/bin/env bash
# Builds everything into the folder named by SNIPEFALL_BUILD_DIR (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${SNIPEFALL_BUILD_DIR:-build}
cmake -S . -B "$build_dir" -G Ninja -DCMAKE_BUILD_TYPE="${SNIPEFALL_BUILD_TYPE:-RelWithDebInfo}" >/dev/null
cmake --build "$build_dir"
