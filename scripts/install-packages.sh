#!/bin/sh
# Installs the packages below if any of them is missing. Installing needs root, as in CI.
set -eu
packages="g++ ccache mold clang clang-format clang-tidy cmake make ninja-build git curl
libboost1.81-dev libboost-program-options1.81-dev libboost-test1.81-dev libboost-json1.81-dev
libboost-url1.81-dev libzmq3-dev cppzmq-dev libprotobuf-dev prometheus-cpp-dev libyaml-cpp-dev
libeasyloggingpp-dev libexpected-dev libxxhash-dev liburcu-dev librapidcheck-dev libssl-dev"
missing=""
for package in $packages; do
    dpkg -s "$package" > /dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing
