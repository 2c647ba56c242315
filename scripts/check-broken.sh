#!/bin/sh
# Builds the decision logic with one rule broken at a time. The history checker must find a violation
# in each build. For the rules of durable keys it runs random schedules and the scenarios; for the
# rules of pools it runs random schedules only.
set -eu
for rule in history lease refusals; do
    cmake -S . -B "build-broken-$rule" -DEGRETLEDGE_BREAK=$rule > /dev/null
    cmake --build "build-broken-$rule" -j "$(nproc)" --target egret-soak egret-scenario > /dev/null
    if "build-broken-$rule/egret-soak" --first 1 --seeds 2000 --quiet &&
        "build-broken-$rule/egret-scenario" scenarios/*.yaml; then
        echo "rule '$rule' is broken and the checker did not see it"
        exit 1
    fi
    echo "rule '$rule' broken: seen"
done
for rule in doubt lapse; do
    cmake -S . -B "build-broken-$rule" -DEGRETLEDGE_BREAK=$rule > /dev/null
    cmake --build "build-broken-$rule" -j "$(nproc)" --target egret-pool-soak > /dev/null
    if "build-broken-$rule/egret-pool-soak" --first 1 --seeds 200; then
        echo "rule '$rule' is broken and the checker did not see it"
        exit 1
    fi
    echo "rule '$rule' broken: seen"
done
