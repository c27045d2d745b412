#!/bin/bash
# Targets for memory and time beside responses without end, in the release build:
# with a sanitizer, neither is the product's.
set -eu
cd "$(dirname "$0")/.."
test=build/release/test/system/test_endless_many
# Apart for each TEST_PORTS, so that two work trees can run it side by side.
ports=$((29500 + ${TEST_PORTS:-2} * 1000))
make -s "$test"
ROUTES_PORT_BASE=$ports "$test"
