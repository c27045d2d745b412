# The replay benchmark, which runs a load through the placement decisions of
# entry VMs.
REPLAY_OBJECTS := $(patsubst %.c,$(OUT)/%.o,$(filter-out replay/src/main.c,$(wildcard replay/src/*.c)))

$(OUT)/replay/%.o: replay/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP $(PUBLIC) -c -o $@ $<

$(OUT)/bin/replay: $(OUT)/replay/src/main.o $(REPLAY_OBJECTS) $(LIBRARIES)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(LIBS)

$(OUT)/test/replay/test_replay: replay/test/test_replay.c $(REPLAY_OBJECTS) $(LIBRARIES)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) $(PUBLIC) -Ireplay/src -o $@ $< $(REPLAY_OBJECTS) $(LIBS) -lcmocka

-include $(wildcard $(OUT)/replay/src/*.d)
