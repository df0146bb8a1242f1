#!/bin/sh
# Puts all that the programs import below target/deps: libraries, the packages, the adapter.
set -eu
if [ ! target/deps/.libraries -nt deploy/requirements.txt ] ||
    [ ! target/deps/.libraries -nt constraints.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps \
        -r deploy/requirements.txt -c constraints.txt
    touch target/deps/.libraries
fi
rm -rf target/deps/paddleshunt_*
cp -R packages/*/src/paddleshunt_* platform/paddleshunt_council target/deps/
rm -rf target/deps/*.egg-info
python3 -m compileall -q target/deps
