#!/usr/bin/env bash
# Checks the format of all sources and runs the linter; needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${SNIPEFALL_BUILD_DIR:-build}
mapfile -t sources < <(git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v '^peer/generated/')
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
printf '%s\0' "${units[@]}" | xargs -0 -n 1 -P "$(nproc)" python3 scripts/lint_unit.py "$build_dir"
echo "format and lint: clean"
