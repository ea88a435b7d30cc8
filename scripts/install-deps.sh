#!/usr/bin/env bash
# Installs the Debian packages that the build needs. Does nothing if all are present.
set -euo pipefail
packages=(g++ cmake make git python3 clang-format clang-tidy ninja-build ccache libboost1.81-dev libjsonrpccpp-dev
    libjsoncpp-dev prometheus-cpp-dev libdocopt-dev libgoogle-glog-dev libcppunit-dev nlohmann-json3-dev
    librapidcheck-dev libxxhash-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
