#!/usr/bin/env bash
# Installs the Debian packages that the build needs; does nothing if all are installed.
set -euo pipefail
packages=(cmake ninja-build g++ pkg-config clang-format clang-tidy curl python3 libcivetweb-dev libcli11-dev
  liblog4cxx-dev libboost-dev catch2 libzmq3-dev cppzmq-dev libmsgpack-cxx-dev nlohmann-json3-dev
  libvalijson-dev libtomlplusplus-dev libsodium-dev libxxhash-dev liblz4-dev libpcg-cpp-dev prometheus-cpp-dev
  librapidcheck-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
$sudo apt-get update -qq
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
