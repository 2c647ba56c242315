#!/bin/sh
# Runs clang-format and clang-tidy on the project's own C++ files; generated code is not checked.
# Needs a configured build folder, from which clang-tidy reads the compile commands. A file that has
# passed is not analysed again until its preprocessed text, the checks or clang-tidy change; the
# records are kept in $EGRETLEDGE_TIDY_CACHE.
set -eu
files=$(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run --Werror $files
EGRETLEDGE_TIDY_CACHE=${EGRETLEDGE_TIDY_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/egretledge-tidy}
export EGRETLEDGE_TIDY_CACHE
mkdir -p "$EGRETLEDGE_TIDY_CACHE"
sources=$(git ls-files 'src/**/*.cpp' 'src/*.cpp' 'platform/*.cpp' 'apps/*.cpp' 'harness/*.cpp' 'bench/*.cpp')
# The largest files first, so that none of them is left for the end.
echo "$sources" | tr ' ' '\n' | sort -u | xargs ls -S | xargs -P "$(nproc)" -n 1 sh scripts/tidy-file.sh
