#!/bin/sh
# Builds what the cases start, after the build of deploy/system.toml: the stand-in
# store and a program for each case, in target/.
set -eu
cd "$(dirname "$0")/.."
make -s -j4 OUT=target/release target/release/bin/primroseleadd \
	target/release/bin/standin-store
mkdir -p target/review
for source in review/*/case.c; do
	n=$(basename "$(dirname "$source")")
	${CC:-cc} -std=c11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Ireview \
		-o "target/review/case-$n" "$source" review/rig.c -lpthread
done
