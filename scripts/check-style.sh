#!/bin/sh
# clang-format and clang-tidy over our own files; generated code is left out. Needs a configured
# build folder for the compile commands.
set -eu
files=$(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run --Werror $files
sources=$(git ls-files 'src/**/*.cpp' 'src/*.cpp' 'platform/*.cpp' 'apps/*.cpp' 'harness/*.cpp' 'bench/*.cpp')
echo "$sources" | tr ' ' '\n' | sort -u | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build
