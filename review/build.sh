#!/bin/sh
# The stand-ins of the review are plain Python and need no build beyond that of the programs.
cd "$(dirname "$0")/.." && exec sh deploy/build.sh
