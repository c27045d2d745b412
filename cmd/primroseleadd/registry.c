/* Lists the VMs that the store names, and registers this VM there. */
#include "registry.h"
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <primroselead/platform.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Interval between two lists of the registered VMs, in ms. A long interval
 * suffices: a VM that starts probes all registered VMs, so they learn of it
 * without the store. VMs that start at the same time find each other only by
 * listing again, so a shorter interval applies for VM_STARTUP_MS after the
 * start.
 */
#define VM_LIST_INTERVAL_MS 20000
#define VM_LIST_STARTUP_INTERVAL_MS 1000
#define VM_STARTUP_MS 5000

/*
 * Time over which the VMs spread their lists of the registered VMs after the
 * store's return from a copy, in ms: at least the first, and the second for
 * each VM, which keeps within the store's rates in a fleet of any size.
 */
#define RETURN_LIST_WINDOW_MS 2000
#define RETURN_LIST_PER_VM_MS 10

/* Timeout of the call that registers this VM, in ms. */
#define REGISTER_TIMEOUT_MS 2000

/* The VMs of a fleet look for their entries at a bounded rate. */
void registry_handle_return(struct control *c, int64_t now)
{
	int64_t window = MAX(RETURN_LIST_WINDOW_MS,
			     c->members.npeer * RETURN_LIST_PER_VM_MS);

	c->registry.own_entry_unchecked = 1;
	c->registry.vm.next_call_ms =
		now + (int64_t)(control_random() % (uint64_t)window);
}

static void install_vm(struct control *c, const char *name,
		       const struct store_object *o)
{
	struct prl_error err = {0};
	struct fleet_vm vm;

	if (platform_vm_parse(name, o->value, &vm, &err)) {
		log_event(LOG_LEVEL_WARNING, "vm_list", "error", err.text,
			  NULL);
		return;
	}
	if (!strcmp(name, c->settings->vm.name)) {
		c->registry.own_version = o->version;
		return;
	}
	g_hash_table_replace(c->registry.vms, g_strdup(name),
			     g_memdup2(&vm, sizeof(vm)));
}

/*
 * Registers this VM again if its entry is missing: others may have removed it,
 * or the store may have returned from a copy that lacks it.
 */
static void check_own_registration(struct control *c)
{
	struct registry *reg = &c->registry;

	if (!reg->registered || reg->registering || reg->own_version)
		return;
	reg->registered = 0;
	log_event(LOG_LEVEL_WARNING, "register", "error",
		  "the store has no entry of this VM any longer", NULL);
}

static void vm_changed(struct store_follower *f, enum store_change change,
		       const char *name, const struct store_object *o)
{
	struct control *c = f->ctx;

	switch (change) {
	case STORE_CHANGE_LIST_BEGIN:
		g_hash_table_remove_all(c->registry.vms);
		c->registry.own_version = 0;
		break;
	case STORE_CHANGE_PUT:
		install_vm(c, name, o);
		break;
	case STORE_CHANGE_REMOVE:
		g_hash_table_remove(c->registry.vms, name);
		if (!strcmp(name, c->settings->vm.name))
			c->registry.own_version = 0;
		break;
	case STORE_CHANGE_LIST_END:
		c->registry.own_entry_unchecked = 0;
		check_own_registration(c);
		break;
	}
}

void registry_init(struct control *c)
{
	struct registry *reg = &c->registry;

	reg->vms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	source_init_follower(c, &reg->vm, STORE_KIND_VM, vm_changed);
	reg->vm.poll_interval_ms = VM_LIST_STARTUP_INTERVAL_MS;
}

static void register_done(struct store_call *call)
{
	struct control *c = call->ctx;
	struct registry *reg = &c->registry;
	int64_t now = prl_now_ms();

	reg->registering = 0;
	if (call->err.code) {
		log_event(LOG_LEVEL_WARNING, "register", "error",
			  call->err.text, NULL);
		/*
		 * An entry of an earlier start of this VM exists; the next
		 * attempt replaces its version.
		 */
		if (call->err.code == PRL_E_CONFLICT && call->revision)
			reg->own_version = call->revision;
		backoff_schedule(&reg->register_backoff, now);
	} else {
		reg->registered = 1;
		reg->own_version = call->revision;
		log_event(LOG_LEVEL_AUDIT, "registered", NULL);
	}
	store_call_finish(call);
}

static void start_register_call(struct control *c, const char *value,
				int64_t now)
{
	struct store_call *call = &c->registry.register_call;

	memset(call, 0, sizeof(*call));
	call->op = STORE_PUT;
	snprintf(call->key, sizeof(call->key), STORE_KIND_VM "/%s",
		 c->settings->vm.name);
	call->version = c->registry.own_version;
	call->value = value;
	call->len = strlen(value);
	call->deadline_ms = now + REGISTER_TIMEOUT_MS;
	call->done = register_done;
	call->ctx = c;
	if (store_call_start(&c->store, call, NULL))
		backoff_schedule(&c->registry.register_backoff, now);
	else
		c->registry.registering = 1;
}

static void register_self(struct control *c, int64_t now)
{
	struct registry *reg = &c->registry;
	const struct member_vm *own = &c->members.peer[0].vm;
	struct fleet_vm vm = {.incarnation = own->incarnation};
	char *text;

	if (reg->registered || reg->registering ||
	    now < reg->register_backoff.retry_ms || c->leaving_since_ms ||
	    !reg->vm.listed)
		return;
	memcpy(vm.region, own->region, sizeof(vm.region));
	memcpy(vm.domain, own->domain, sizeof(vm.domain));
	memcpy(vm.http, own->http, sizeof(vm.http));
	memcpy(vm.rpc, own->rpc, sizeof(vm.rpc));
	text = platform_vm_format(&vm);
	if (!text)
		return;
	start_register_call(c, text, now);
	free(text);
}

void registry_deregister(struct control *c)
{
	struct registry *reg = &c->registry;

	if (reg->registering)
		store_call_cancel(&reg->register_call);
	reg->registering = 0;
	if (reg->registered && reg->own_version)
		start_register_call(c, "", prl_now_ms());
}

void registry_tick(struct control *c, int64_t now)
{
	struct registry *reg = &c->registry;

	if (readers_reads_store(c, now) || !reg->vm.listed ||
	    reg->own_entry_unchecked)
		store_follower_tick(&reg->vm, now, control_random());
	if (now > c->started_ms + VM_STARTUP_MS)
		reg->vm.poll_interval_ms = VM_LIST_INTERVAL_MS;
	if (c->source.ready)
		register_self(c, now);
}

void registry_finish(struct control *c)
{
	struct registry *reg = &c->registry;

	if (reg->registering)
		store_call_cancel(&reg->register_call);
	store_follower_finish(&reg->vm);
	g_hash_table_destroy(reg->vms);
}
