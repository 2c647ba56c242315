#!/bin/sh
# Usage: tidy-file.sh FILE. Runs clang-tidy on one source file, unless the same text has passed
# before. The key of a pass covers the preprocessed text with its comments, which may hold NOLINT.
set -eu
file=$1
command=$(grep -F -- " -c $PWD/$file\"" build/compile_commands.json | head -n 1 |
    sed -e 's/^ *"command": "//' -e 's/",\{0,1\}$//' -e 's/\\\(["\\]\)/\1/g' -e 's/ -o [^ ]* -c / -E -P -C /')
if [ -z "$command" ]; then
    echo "$file is not in build/compile_commands.json; configure the build folder first" >&2
    exit 1
fi
text=$(mktemp)
trap 'rm -f "$text"' EXIT
eval "$command" > "$text"
# Macros such as __FILE__ put the path of the checkout into the text.
key=$({ clang-tidy --version; cat .clang-tidy; sed "s#$PWD/##g" "$text"; } | sha256sum | cut -d ' ' -f 1)
passed=$EGRETLEDGE_TIDY_CACHE/$key
[ -e "$passed" ] && exit 0
clang-tidy --quiet -p build "$file"
: > "$passed"
