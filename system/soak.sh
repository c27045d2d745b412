#!/bin/bash
# A short soak with one seed; longer ones are run by hand (make soak).
set -eu
cd "$(dirname "$0")/.."
make -s soak SEED=7 DURATION_S=25 VMS=4
