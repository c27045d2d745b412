# The soak: real programs under random faults. "make soak SEED=n DURATION_S=s VMS=v".
SEED ?= 1
DURATION_S ?= 40
VMS ?= 4
SOAK_OBJECTS := $(patsubst %.c,$(OUT)/%.o,$(wildcard soak/*.c))

$(OUT)/soak/%.o: soak/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -DTEST_PORTS=$(TEST_PORTS) -MMD -MP $(PUBLIC) -Isystem -c -o $@ $<

$(OUT)/test/soak/soak: $(SOAK_OBJECTS) $(HARNESS) $(LIBRARIES) $(BINARIES) $(STANDINS)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -o $@ $(SOAK_OBJECTS) $(HARNESS) $(LIBS) -lcmocka

.PHONY: soak
soak: $(OUT)/test/soak/soak
	$< --seed=$(SEED) --duration=$(DURATION_S) --vms=$(VMS)

-include $(wildcard $(OUT)/soak/*.d)
