#!/usr/bin/env bash
# Generates the C++ code of the messages between nodes; the result is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
thrift --gen cpp:no_skeleton -out peer/generated peer/peer_messages.thrift
