# Compiler, warnings, and the flags of each MODE: release, asan (address and
# undefined behaviour), tsan (threads), clang, and fuzz (for libFuzzer).
OUT := build/$(MODE)
DEPENDS := apr-1 libtirpc libmicrohttpd libcurl glib-2.0 jansson libxxhash
WARN := -std=c11 -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wpointer-arith -Wvla

# Library headers count as system headers, so that their warnings are no errors.
DEP_CFLAGS := $(patsubst -I%,-isystem %,$(shell pkg-config --cflags $(DEPENDS)))
DEP_LIBS := $(shell pkg-config --libs $(DEPENDS)) -largtable2 -lpthread -lm

MODE_release := -O2 -g
MODE_asan := -O1 -g -fsanitize=address,undefined -fno-omit-frame-pointer \
	-fno-sanitize-recover=all
MODE_tsan := -O1 -g -fsanitize=thread
MODE_clang := -O2 -g
MODE_fuzz := -O1 -g -fsanitize=address,undefined,fuzzer-no-link \
	-fno-sanitize-recover=all

ifneq ($(filter $(MODE),clang fuzz),)
CC := clang
endif

CFLAGS = $(WARN) $(MODE_$(MODE)) $(DEP_CFLAGS) -D_GNU_SOURCE $(CFLAGS_EXTRA) \
	-DPRL_VERSION='"$(shell cat VERSION)"'
LDLIBS := $(DEP_LIBS)
