#!/bin/sh
# Runs clang-format and clang-tidy on the project's own C++ files; generated code is not checked.
# Needs a configured build folder, from which clang-tidy reads the compile commands.
set -eu
files=$(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run --Werror $files
sources=$(git ls-files 'src/**/*.cpp' 'src/*.cpp' 'platform/*.cpp' 'apps/*.cpp' 'harness/*.cpp' 'bench/*.cpp')
echo "$sources" | tr ' ' '\n' | sort -u | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build
