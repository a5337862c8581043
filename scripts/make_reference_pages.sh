#!/usr/bin/env bash
# Writes the reference pages that are made from the programs of a built folder.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${SNIPEFALL_BUILD_DIR:-build}/bin
{
    printf '# Settings of snipefalld\n\nThis table is the output of `snipefalld --reference`. The command line wins over the environment, the environment over the default. '
    printf 'All invalid settings are reported at once, with exit code 2; a node that cannot start for another reason exits with 3.\n\n'
    "$bin/snipefalld" --reference
} >docs/settings.md
# The command substitution removes the empty line at the end.
page=$("$bin/snipefall" reference)
printf '%s\n' "$page" >docs/command_line.md
