# One test program per file test/test_*.c of a package, and the tests of the whole
# system, system/test_*.c. "make check" runs them under ASan, and those that use
# several threads under TSan.
TESTS := $(foreach p,$(PACKAGES),$(patsubst $(p)/test/%.c,$(OUT)/test/$(p)/%,$(wildcard $(p)/test/test_*.c)))
SYSTEM_TESTS := $(patsubst system/%.c,$(OUT)/test/system/%,$(wildcard system/test_*.c))
HARNESS := $(patsubst %.c,$(OUT)/%.o,$(filter-out $(wildcard system/test_*.c),$(wildcard system/*.c)))

# Helpers that tests of several packages use.
TESTKIT := $(wildcard testkit/*.c)

define package_test
$(1)_TEST_PARTS := $(filter-out $(wildcard $(1)/test/test_*.c),$(wildcard $(1)/test/*.c))
$(OUT)/test/$(1)/%: $(1)/test/%.c $$($(1)_TEST_PARTS) $(wildcard $(1)/test/*.h) $(TESTKIT) $(wildcard testkit/*.h) $(LIBRARIES)
	@mkdir -p $$(@D)
	$$(CC) $$(CFLAGS) $(PUBLIC) -I$(1)/src -I$(1)/test -Itestkit -o $$@ $$< $$($(1)_TEST_PARTS) $(TESTKIT) $(LIBS) -lcmocka
endef
$(foreach p,$(PACKAGES),$(eval $(call package_test,$(p))))

# First digit of the ports that the system tests use.
TEST_PORTS ?= 2

# Tests of parts of a program, which are linked with these parts only.
PROGRAM_TESTS := $(foreach p,$(PROGRAMS),$(patsubst cmd/$(p)/test/%.c,$(OUT)/test/$(p)/%,$(wildcard cmd/$(p)/test/test_*.c)))
$(OUT)/test/primroseleadd/test_check_bytes: $(OUT)/cmd/primroseleadd/check.o
$(OUT)/test/primroselead/test_page_bytes: $(OUT)/cmd/primroselead/command.o

define program_test
$(OUT)/test/$(1)/%: cmd/$(1)/test/%.c $(TESTKIT) $(wildcard testkit/*.h) $(LIBRARIES)
	@mkdir -p $$(@D)
	$$(CC) $$(CFLAGS) $(PUBLIC) -Icmd/$(1) -Itestkit -o $$@ $$< $$(filter %.o,$$^) $(TESTKIT) $(LIBS) -lcmocka
endef
$(foreach p,$(PROGRAMS),$(eval $(call program_test,$(p))))

$(OUT)/system/%.o: system/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -DTEST_PORTS=$(TEST_PORTS) -MMD -MP $(PUBLIC) -c -o $@ $<

$(OUT)/test/system/%: system/%.c $(HARNESS) $(LIBRARIES) $(BINARIES) $(STANDINS)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -DTEST_PORTS=$(TEST_PORTS) $(PUBLIC) -o $@ $< $(HARNESS) $(LIBS) -lcmocka

# The build in service, which some tests run beside this one.
$(OUT)/bin/primroseleadd-production: deploy/system.toml tools/build-production
	tools/build-production $@

$(OUT)/test/system/test_upgrade $(OUT)/test/system/test_quarantine_upgrade \
$(OUT)/test/system/test_workspaces_upgrade $(OUT)/test/system/test_region_relay: $(OUT)/bin/primroseleadd-production

.PHONY: tests check check-one bench replay fuzz capacity mutants
tests: $(TESTS) $(PROGRAM_TESTS) $(SYSTEM_TESTS) $(OUT)/test/model/test_model $(OUT)/test/replay/test_replay

check:
	tools/setup
	tools/check

bench: all $(OUT)/bin/bench-decide
	bench/run

replay: $(OUT)/bin/replay
	bench/replay

capacity: all
	bench/capacity
	bench/fullsize

fuzz:
	bench/fuzz

mutants:
	bench/mutants

-include $(wildcard $(OUT)/system/*.d)
