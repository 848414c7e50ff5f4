#!/bin/sh
# Checks the stand-ins of cases 4 to 6. They are plain modules without dependencies, so
# that nothing has to be compiled; the processes under test come from the deploy build.
set -e
cd "$(dirname "$0")"
test -f ../target/hoistscale.cjs
for file in fleet_2/*.mjs [4-6]/*.mjs; do
  node --check "$file"
done
