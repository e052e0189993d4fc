#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the CI checks need.
set -euo pipefail
packages=(g++ cmake ninja-build make pkg-config clang-format clang-tidy curl
    libpoco-dev libwebsocketpp-dev nlohmann-json3-dev prometheus-cpp-dev libabsl-dev liblog4cplus-dev libxxhash-dev libsimdjson-dev
    libcriterion-dev librapidcheck-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" > /dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q "${missing[@]}"
