#!/bin/sh
# Builds the stand-ins and drivers of the cases of the second review into target/review-2/.
# Needs what the build of the deploy file needs, and nothing else. All stand-ins (store, executors,
# clients, balancer) are in the drivers; no script starts a stand-in of the project's own.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6 review/7 review/8 review/9 review/10; do
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -Ireview/standin-2 "$source/case.cpp" \
        -o "target/review-2/case-$(basename "$source")" -lboost_json -pthread
done
