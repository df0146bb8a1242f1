#!/bin/sh
# Builds the stand-ins of review/4 to review/8: Python sources that need the standard library only.
# Run after the build of the deploy file. Writes nothing but byte code below target/.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/paddleshunt_council
mkdir -p target/review-2
for file in review/standins-2/*.py review/[4-8]/story.py; do
    python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)' \
        "$file" "target/review-2/$(echo "$file" | tr / -)c"
done
