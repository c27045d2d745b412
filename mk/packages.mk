# Builds one static library per package. A package is compiled with the public
# headers of just the packages in its _USES, so that an include against the
# direction of dependencies does not compile.
base_USES :=
fleet_USES := base
platform_USES := base fleet
schema_USES := base
loop_USES := base
store_USES := base loop fleet platform
config_USES := base fleet schema steer store spread loop
steer_USES := base fleet
limit_USES := base
place_USES := base fleet steer limit
quarantine_USES := base
claim_USES := base
wire_USES := base loop
member_USES := base
spread_USES := base
observe_USES := base
proxy_USES := base fleet platform loop schema spread steer limit place quarantine claim config observe

# External libraries that a package needs, by their pkg-config names.
base_NEEDS := apr-1 glib-2.0 libxxhash
schema_NEEDS := apr-1 glib-2.0
fleet_NEEDS :=
platform_NEEDS := jansson
loop_NEEDS := libmicrohttpd libcurl glib-2.0
store_NEEDS := libcurl glib-2.0
config_NEEDS := apr-1 glib-2.0 jansson
limit_NEEDS := glib-2.0 jansson
quarantine_NEEDS := jansson
wire_NEEDS := libtirpc glib-2.0
member_NEEDS := glib-2.0
spread_NEEDS := glib-2.0
observe_NEEDS := glib-2.0 jansson
proxy_NEEDS := apr-1 libmicrohttpd libcurl glib-2.0

PUBLIC := $(foreach p,$(PACKAGES),-I$(p)/include)
LIBRARIES := $(foreach p,$(PACKAGES),$(OUT)/lib/libprimroselead-$(p).a)

define package
$(1)_OBJECTS := $$(patsubst %.c,$$(OUT)/%.o,$$(wildcard $(1)/src/*.c))
$$(OUT)/lib/libprimroselead-$(1).a: $$($(1)_OBJECTS)
	@mkdir -p $$(@D)
	@rm -f $$@
	ar rcs $$@ $$^
$$(OUT)/$(1)/src/%.o: $(1)/src/%.c
	@mkdir -p $$(@D)
	$$(CC) $$(CFLAGS) -MMD -MP $$(foreach p,$(1) $$($(1)_USES),-I$$(p)/include) -I$(1)/src -c -o $$@ $$<
endef
$(foreach p,$(PACKAGES),$(eval $(call package,$(p))))

-include $(foreach p,$(PACKAGES),$($(p)_OBJECTS:.o=.d))

# rpcgen declares a buffer in every function, which those of short messages don't
# use. XDR functions are cast to xdrproc_t, a type with other parameters.
$(OUT)/wire/src/messages.o: CFLAGS += -Wno-unused-variable -Wno-cast-function-type
$(OUT)/wire/src/codec.o: CFLAGS += -Wno-cast-function-type
