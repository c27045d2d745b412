# Formatting, clang-tidy, and a build by clang in addition to gcc. Files that
# rpcgen writes (messages.c, messages.h) are left out.
SOURCES := $(filter-out %/messages.c,$(shell git ls-files '*.c'))
HEADERS := $(filter-out %/messages.h,$(shell git ls-files '*.h'))
TIDY := $(addprefix build/tidy/,$(addsuffix .ok,$(SOURCES)))

.PHONY: format lint tidy
format:
	clang-format -i $(SOURCES) $(HEADERS)

lint: tidy
	clang-format --dry-run -Werror $(SOURCES) $(HEADERS)
	$(MAKE) --no-print-directory MODE=clang all tests

tidy: $(TIDY)

build/tidy/%.ok: % .clang-tidy $(HEADERS)
	@mkdir -p $(@D)
	clang-tidy --quiet $< -- $(WARN) $(DEP_CFLAGS) $(PUBLIC) -I$(dir $<) -I$(dir $<)../src -I$(dir $<).. -Isystem -Itestkit -Iwire/src -DPRL_VERSION='""'
	@touch $@
