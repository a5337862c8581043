#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need; does nothing when all are there.
set -euo pipefail

packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy python3
    libcxxtools-dev libthrift-dev thrift-compiler libevent-dev prometheus-cpp-dev libfmt-dev
    libboost-dev libboost-test-dev librapidcheck-dev libssl-dev nlohmann-json3-dev)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
if [ "$(id -u)" -ne 0 ]; then
    echo "missing packages: ${missing[*]}; install them as root with apt-get" >&2
    exit 1
fi
echo "installing ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
