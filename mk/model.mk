# The model of a fleet: its test, the program that runs it by seed (also used by
# bench/mutants), and the libFuzzer targets, which need MODE=fuzz.
MODEL_OBJECTS := $(patsubst %.c,$(OUT)/%.o,$(filter-out model/main.c model/test_%.c model/fuzz_%.c,$(wildcard model/*.c)))

$(OUT)/model/%.o: model/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP $(PUBLIC) -c -o $@ $<

$(OUT)/test/model/test_model: $(OUT)/model/test_model.o $(MODEL_OBJECTS) $(LIBRARIES)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(LIBS) -lcmocka

$(OUT)/bin/model: $(OUT)/model/main.o $(MODEL_OBJECTS) $(LIBRARIES)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(LIBS)

$(OUT)/bin/fuzz-%: $(OUT)/model/fuzz_%.o $(MODEL_OBJECTS) $(LIBRARIES)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -fsanitize=fuzzer -o $@ $(filter %.o,$^) $(LIBS)

-include $(wildcard $(OUT)/model/*.d)

# Benchmark programs bench/NAME.c, built as bench-NAME.
$(OUT)/bin/bench-%: $(OUT)/bench/%.o $(LIBRARIES)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(LIBS)

$(OUT)/bench/%.o: bench/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP $(PUBLIC) -c -o $@ $<
