# The commands that the README names. `make demo` and `make test` work on a fresh Debian 12 machine:
# they install the declared packages first, unless SKIP_INSTALL=1.

JOBS ?= $(shell nproc)
SEEDS ?= 20000
# 0 draws a random first seed and prints it.
FIRST_SEED ?= 0
# Number of tests that run in parallel.
TESTS_AT_ONCE ?= $(JOBS)

.PHONY: all install test demo soak broken asan tsan lint format bench clean

all: install
	cmake --preset release > /dev/null
	cmake --build build -j $(JOBS)

install:
ifndef SKIP_INSTALL
	sh scripts/install-packages.sh
endif

test: all
	ctest --test-dir build --output-on-failure -j $(TESTS_AT_ONCE)

demo: all
	sh scripts/demo.sh

bench: all
	build/egret-bench --all
	build/egret-pool-bench --all

soak: all
	build/egret-soak --first $(FIRST_SEED) --seeds $(SEEDS)
	build/egret-pool-soak --first $(FIRST_SEED) --seeds 500

# Builds the decision logic with one rule broken at a time. The history checker must find a
# violation in each build.
broken: install
	sh scripts/check-broken.sh

asan: install
	cmake --preset asan > /dev/null
	cmake --build build-asan -j $(JOBS) --target checks
	ctest --test-dir build-asan --output-on-failure -j $(TESTS_AT_ONCE)

tsan: install
	cmake --preset tsan > /dev/null
	cmake --build build-tsan -j $(JOBS) --target threaded_checks
	ctest --test-dir build-tsan --output-on-failure -j $(TESTS_AT_ONCE) -L threads

clean:
	rm -rf build build-*
