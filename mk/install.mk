# Installs programs, libraries, headers, manual pages and one pkg-config file per
# package. Usage: make install PREFIX=/usr/local DESTDIR=
PREFIX ?= /usr/local
MANUALS := $(wildcard man/*.1)

.PHONY: install
install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig
	install -d $(DESTDIR)$(PREFIX)/include/primroselead
	install -d $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 755 $(BINARIES) $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIBRARIES) $(DESTDIR)$(PREFIX)/lib
	install -m 644 $(foreach p,$(PACKAGES),$(wildcard $(p)/include/primroselead/*.h)) \
		$(DESTDIR)$(PREFIX)/include/primroselead
	install -m 644 $(MANUALS) $(DESTDIR)$(PREFIX)/share/man/man1
	for p in $(PACKAGES); do \
		sed -e "s|@PREFIX@|$(PREFIX)|;s|@PACKAGE@|$$p|g;s|@VERSION@|$$(cat VERSION)|" \
			-e "s|@USES@|$$($(MAKE) -s uses PACKAGE=$$p)|" \
			mk/package.pc.in >$(DESTDIR)$(PREFIX)/lib/pkgconfig/primroselead-$$p.pc; \
	done

# Prints the pkg-config names that PACKAGE requires: the project's packages, then
# external libraries.
.PHONY: uses
uses:
	@echo $(foreach p,$($(PACKAGE)_USES),primroselead-$(p)) $($(PACKAGE)_NEEDS)
