#!/bin/sh
# Builds the stand-ins that the scripts under review/ start, into target/review.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
for source in review/standin/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review/$name" -lboost_json &
done
wait
for source in review/standin/*.cpp; do
    [ -x "target/review/$(basename "$source" .cpp)" ] || exit 1
done
