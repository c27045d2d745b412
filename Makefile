# Targets: all, tests (builds the tests), check (builds and runs them), lint, tidy,
# format, bench, replay, soak, demo, fuzz, capacity, mutants, install, generate, clean.
# MODE is release, asan, tsan, clang or fuzz; output goes to build/MODE.

PACKAGES := base fleet platform schema loop store config steer limit place quarantine claim wire member \
	spread observe proxy
PROGRAMS := primroseleadd primroselead
MODE ?= release

include mk/flags.mk
include mk/packages.mk
include mk/programs.mk
include mk/model.mk
include mk/replay.mk
include mk/tests.mk
include mk/soak.mk
include mk/lint.mk
include mk/install.mk

.PHONY: all generate clean demo
all: $(LIBRARIES) $(BINARIES) $(STANDINS) $(EXAMPLES)

generate:
	tools/generate

demo:
	tools/setup
	tools/demo

clean:
	rm -rf build
