#!/bin/bash
# Targets for memory and time beside responses without end, in the release build:
# with a sanitizer, neither is the product's.
set -eu
cd "$(dirname "$0")/.."
test=build/release/test/system/test_endless_many
make -s "$test"
ROUTES_PORT_BASE=31500 "$test"
