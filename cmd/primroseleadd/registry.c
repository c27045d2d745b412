/* Follows the platform's objects in the store and registers this VM there. */
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <primroselead/platform.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Time in ms for which an object that is missing counts as present if it may
 * have expired during an outage of the store, or if the store may have returned
 * from a copy that lacks it; its writer writes it again within this time.
 */
#define EXPIRED_GRACE_MS 2000

/*
 * Time in ms after an outage of the store, or its return from a copy, during
 * which a missing object is taken to be missing because of it.
 */
#define AFTER_OUTAGE_MS 3000

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
 * Age in ms of the store's last confirmation at which the replica counts as
 * stale. A watch confirms it more often.
 */
#define STALE_AFTER_MS 2500

/*
 * Delay after the start before seeds are asked for their replica, to give the
 * store time to answer first, and interval between two seeds, in ms.
 */
#define SEED_DELAY_MS 600
#define SEED_INTERVAL_MS 400

/*
 * Time over which the VMs spread their lists of the registered VMs after the
 * store's return from a copy, in ms: at least the first, and the second for
 * each VM, which keeps within the store's rates in a fleet of any size.
 */
#define RETURN_LIST_WINDOW_MS 2000
#define RETURN_LIST_PER_VM_MS 10

/* Timeout of the call that registers this VM, in ms. */
#define REGISTER_TIMEOUT_MS 2000

static void log_store_state(struct store_follower *f, int up,
			    const struct prl_error *why)
{
	char age[LOG_NUMBER_MAX];

	log_format_number(age, f->confirmed_ms ? prl_now_ms() - f->confirmed_ms
					       : -1);
	log_event(LOG_LEVEL_AUDIT, "store", "kind", f->kind, "state",
		  up ? "up" : "down", "error", why ? why->text : "",
		  "confirmed_ms_ago", age, NULL);
}

/*
 * Time until which an object that went missing at "now" counts as present,
 * given when the store came back; 0 if it did not.
 */
static int64_t grace_end(int64_t came_back_ms, int64_t now)
{
	if (came_back_ms && now - came_back_ms < AFTER_OUTAGE_MS)
		return MAX(now, came_back_ms + EXPIRED_GRACE_MS);
	return now;
}

struct objects_removal registry_removal(const struct control *c, int64_t now)
{
	const struct store_follower *f = &c->registry.upstream;
	int64_t returned_ms = c->registry.returned_ms;
	struct objects_removal removal = {
		.upstream_ms =
			grace_end(MAX(f->recovered_ms, returned_ms), now),
		.evacuation_ms = grace_end(returned_ms, now),
	};

	if (f->consecutive_failures)
		removal.upstream_ms = now + EXPIRED_GRACE_MS;
	return removal;
}

/*
 * Looks for this VM's registration after the store returned from a copy. The
 * VMs of a fleet do so at a bounded rate.
 */
static void schedule_vm_list(struct control *c, int64_t now)
{
	int64_t window = MAX(RETURN_LIST_WINDOW_MS,
			     c->members.npeer * RETURN_LIST_PER_VM_MS);

	c->registry.own_entry_unchecked = 1;
	c->registry.vm.next_call_ms =
		now + (int64_t)(control_random() % (uint64_t)window);
}

/* The first era that is named is no return from a copy. */
static void on_era(struct store *s, int64_t previous)
{
	struct control *c = s->ctx;
	char from[LOG_NUMBER_MAX];
	char to[LOG_NUMBER_MAX];

	if (previous) {
		c->registry.returned_ms = prl_now_ms();
		schedule_vm_list(c, c->registry.returned_ms);
	}
	log_format_number(from, previous);
	log_format_number(to, s->era);
	log_event(LOG_LEVEL_AUDIT, "store", "state",
		  previous ? "returned" : "named", "era", to, "previous_era",
		  from, NULL);
}

/*
 * Logs an object that the store holds in an older version than this VM does,
 * which is therefore not installed.
 */
static void log_older(struct control *c, const struct store_object *o)
{
	const struct spread_object *known =
		spread_find(&c->sync.replica, o->key);
	char held[LOG_NUMBER_MAX];
	char read[LOG_NUMBER_MAX];

	if (!known || known->version <= o->version)
		return;
	metrics_add(&c->proxy.control_metrics, METRIC_CONFIG_OLDER, 1);
	log_format_number(held, known->version);
	log_format_number(read, o->version);
	log_event(LOG_LEVEL_WARNING, "older", "key", o->key, "version", read,
		  "held", held, NULL);
}

/* Whether a later event of the same response creates a removed object again. */
static int is_recreated(const struct store_follower *f,
			const struct store_object *o)
{
	const struct store_object *end = f->call.object + f->call.nobject;

	for (const struct store_object *next = o + 1; next < end; next++)
		if (next->len && !strcmp(next->key, o->key))
			return 1;
	return 0;
}

static void object_changed(struct store_follower *f, enum store_change change,
			   const char *name, const struct store_object *o)
{
	struct control *c = f->ctx;

	(void)name;
	switch (change) {
	case STORE_CHANGE_LIST_BEGIN:
		break;
	case STORE_CHANGE_PUT:
		log_older(c, o);
		sync_install_read(c, o->key, o->version, o->value, o->len);
		break;
	case STORE_CHANGE_REMOVE:
		/*
		 * A removal event carries the version that was removed, not
		 * that of the removal, so the response's revision is used.
		 */
		if (!is_recreated(f, o))
			sync_install_read(c, o->key, f->call.revision, "", 0);
		break;
	case STORE_CHANGE_LIST_END:
		sync_remove_unlisted(c, &f->call);
		break;
	}
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

static void init_follower(
	struct control *c, struct store_follower *f, const char *kind,
	void (*changed)(struct store_follower *f, enum store_change change,
			const char *name, const struct store_object *o))
{
	store_follower_init(f, &c->store, kind);
	f->on_change = changed;
	f->on_reachability = log_store_state;
	f->ctx = c;
}

void registry_init(struct control *c)
{
	struct registry *reg = &c->registry;

	c->store.on_era = on_era;
	c->store.ctx = c;
	reg->vms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	init_follower(c, &reg->manifest, PLATFORM_KIND_MANIFEST,
		      object_changed);
	init_follower(c, &reg->upstream, PLATFORM_KIND_UPSTREAM,
		      object_changed);
	init_follower(c, &reg->evacuation, PLATFORM_KIND_EVACUATION,
		      object_changed);
	init_follower(c, &reg->vm, STORE_KIND_VM, vm_changed);
	reg->vm.poll_interval_ms = VM_LIST_STARTUP_INTERVAL_MS;
}

/* The replica is complete up to the lowest revision of the followed kinds. */
static void update_revision(struct control *c)
{
	const struct registry *reg = &c->registry;
	int64_t revision = MIN(reg->manifest.revision, reg->upstream.revision);

	if (!reg->manifest.listed || !reg->upstream.listed ||
	    !reg->evacuation.listed)
		return;
	revision = MIN(revision, reg->evacuation.revision);
	spread_advance(&c->sync.replica, c->sync.replica.complete_revision,
		       revision);
	c->registry.replica_complete = 1;
}

void registry_set_complete(struct control *c)
{
	c->registry.replica_complete = 1;
}

static int is_stale(const struct store_follower *f, int64_t now)
{
	return f->consecutive_failures ||
	       now - f->confirmed_ms > STALE_AFTER_MS;
}

int registry_is_stale(const struct control *c, int64_t now)
{
	const struct registry *reg = &c->registry;

	return is_stale(&reg->manifest, now) || is_stale(&reg->upstream, now) ||
	       is_stale(&reg->evacuation, now);
}

int64_t registry_confirmed_ms(const struct control *c)
{
	const struct registry *reg = &c->registry;

	if (reg->manifest.consecutive_failures ||
	    reg->upstream.consecutive_failures ||
	    reg->evacuation.consecutive_failures)
		return 0;
	return MIN(
		reg->manifest.confirmed_ms,
		MIN(reg->upstream.confirmed_ms, reg->evacuation.confirmed_ms));
}

void registry_confirm(struct control *c, int64_t version, int64_t confirmed_ms)
{
	struct registry *reg = &c->registry;

	store_follower_confirm(&reg->manifest, version, confirmed_ms);
	store_follower_confirm(&reg->upstream, version, confirmed_ms);
	store_follower_confirm(&reg->evacuation, version, confirmed_ms);
}

int registry_lacks_news(const struct control *c, int64_t now)
{
	const struct registry *reg = &c->registry;
	int64_t back = MAX(reg->upstream.recovered_ms, reg->returned_ms);

	return registry_is_stale(c, now) ||
	       (back && now - back < AFTER_OUTAGE_MS);
}

/*
 * Marks this VM ready once the replica is complete and a manifest is in force.
 * From the first complete replica on, an upstream that appears counts as newly
 * started.
 */
static void check_ready(struct control *c)
{
	struct registry *reg = &c->registry;

	if (reg->ready || !reg->replica_complete)
		return;
	c->objects.inventory.list_complete = 1;
	if (!c->objects.inventory.manifest.version)
		return;
	reg->ready = 1;
	sync_set_ready(c, reg->upstream.listed ? "store" : "peer");
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

/*
 * A VM that starts while the store is unreachable pulls the replica from a
 * random seed of its settings. It does not serve or join before.
 */
static void pull_from_seed(struct control *c, int64_t now)
{
	const struct prl_settings *s = c->settings;
	struct registry *reg = &c->registry;
	const char *seed;

	if (reg->ready || !s->nseed || now < reg->next_seed_pull_ms ||
	    now < c->started_ms + SEED_DELAY_MS)
		return;
	reg->next_seed_pull_ms = now + SEED_INTERVAL_MS;
	seed = s->seed[control_random() % (uint64_t)s->nseed].address;
	if (strcmp(seed, s->listen.rpc))
		sync_pull_from(c, seed);
}

void registry_tick(struct control *c, int64_t now)
{
	struct registry *reg = &c->registry;
	int reads = readers_reads_store(c, now);

	if (reads) {
		store_follower_tick(&reg->manifest, now, control_random());
		store_follower_tick(&reg->upstream, now, control_random());
		store_follower_tick(&reg->evacuation, now, control_random());
	}
	if (reads || !reg->vm.listed || reg->own_entry_unchecked)
		store_follower_tick(&reg->vm, now, control_random());
	if (now > c->started_ms + VM_STARTUP_MS)
		reg->vm.poll_interval_ms = VM_LIST_INTERVAL_MS;
	update_revision(c);
	pull_from_seed(c, now);
	check_ready(c);
	if (reg->ready)
		register_self(c, now);
}

void registry_finish(struct control *c)
{
	struct registry *reg = &c->registry;

	if (reg->registering)
		store_call_cancel(&reg->register_call);
	store_follower_finish(&reg->manifest);
	store_follower_finish(&reg->upstream);
	store_follower_finish(&reg->evacuation);
	store_follower_finish(&reg->vm);
	g_hash_table_destroy(reg->vms);
}
