# The daemon and the command, the stand-ins (store, upstreams, load and fleet for
# tests and benchmarks) and the example program.
BINARIES := $(foreach p,$(PROGRAMS),$(OUT)/bin/$(p))
STANDIN_PROGRAMS := store upstream odd load bare fleet link
STANDINS := $(foreach p,$(STANDIN_PROGRAMS),$(OUT)/bin/standin-$(p))
EXAMPLES := $(OUT)/bin/example-steer

LIBS := -Wl,--start-group $(LIBRARIES) -Wl,--end-group $(LDLIBS)

define program
$(OUT)/bin/$(1): $$(patsubst %.c,$$(OUT)/%.o,$$(wildcard cmd/$(1)/*.c)) $$(LIBRARIES)
	@mkdir -p $$(@D)
	$$(CC) $$(CFLAGS) -o $$@ $$(filter %.o,$$^) $$(LIBS)
endef
$(foreach p,$(PROGRAMS),$(eval $(call program,$(p))))

$(OUT)/bin/standin-store: $(OUT)/standin/src/objects.o $(OUT)/standin/src/store_request.o $(OUT)/standin/src/raw_values.o
$(OUT)/bin/standin-odd: $(foreach n,runs request faulty away endless fields long,$(OUT)/standin/src/$(n).o)
$(OUT)/bin/standin-load: $(OUT)/standin/src/latencies.o

$(OUT)/bin/standin-%: $(OUT)/standin/src/%.o $(OUT)/standin/src/answer.o $(LIBRARIES)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(LIBS)

$(OUT)/bin/example-%: $(OUT)/examples/embed/%.o $(LIBRARIES)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(LIBS)

$(OUT)/cmd/%.o: cmd/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP $(PUBLIC) -I$(dir $<) -c -o $@ $<

$(OUT)/standin/%.o: standin/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP $(PUBLIC) -Iwire/src -c -o $@ $<

$(OUT)/examples/%.o: examples/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP $(PUBLIC) -Iwire/src -c -o $@ $<

-include $(wildcard $(OUT)/cmd/*/*.d $(OUT)/standin/src/*.d)
