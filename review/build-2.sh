#!/bin/bash
# Builds the stand-ins that the scripts of cases 6 to 10 start: the project's
# own store and load tool, and those of review/stage. They go to target/.
set -eu
cd "$(dirname "$0")/.."
make -s -j4 OUT=target/release target/release/bin/standin-store \
	target/release/bin/standin-load
mkdir -p target/review-2
for name in upstream callers crowd senders; do
	[ -f "review/stage/$name.c" ] || continue
	cc -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra \
		-o "target/review-2/$name" "review/stage/$name.c" -lpthread
done
