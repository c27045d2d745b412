#!/bin/bash
# Crowds of callers that misbehave, in the release build and one at a time: with a
# sanitizer, the memory is not the product's.
set -eu
cd "$(dirname "$0")/.."
# Apart for each TEST_PORTS, so that two work trees can run it side by side.
ports=$((29900 + ${TEST_PORTS:-2} * 1000))
failed=0
for name in bodies pipeline heads slow answers; do
	test=build/release/test/system/test_crowd_$name
	make -s "$test"
	ROUTES_PORT_BASE=$ports "$test" || failed=1
done
exit $failed
