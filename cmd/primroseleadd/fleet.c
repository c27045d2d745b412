/* Follows the platform's objects and registers this VM among the others. */
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <primroselead/platform.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time for which an upstream whose entry lapsed while the store was away may
 * still be used: entries of those that live are back by then. In ms. */
#define LAPSED_MS 2000

/* Time after an outage in which a missing entry may have lapsed in it, in ms.
 */
#define OUTAGE_NEAR_MS 3000

/* Time between two lists of the registered VMs, in ms: a VM that starts probes
 * those that it finds, so the others learn of it without the store. VMs that
 * start together find each other only by lists soon after it. */
#define VM_LIST_MS 20000
#define VM_LIST_EARLY_MS 1000
#define VM_EARLY_MS 5000

/* Time for the call that registers this VM, in ms. */
#define REGISTER_MAX_MS 2000

static void number(char out[24], int64_t n)
{
	snprintf(out, 24, "%lld", (long long)n);
}

static void log_store(struct store_follow *f, int up,
		      const struct prl_error *why)
{
	char age[24];

	number(age, f->confirmed_ms ? prl_now_ms() - f->confirmed_ms : -1);
	log_event(LOG_AUDIT_LINE, "store", "kind", f->kind, "state",
		  up ? "up" : "down", "error", why ? why->text : "",
		  "confirmed_ms_ago", age, NULL);
}

/* Until when an upstream may be used whose entry is missing now. */
static int64_t gone_at(const struct store_follow *f, int64_t now)
{
	if (f->regained_ms && now - f->regained_ms < OUTAGE_NEAR_MS)
		return f->regained_ms + LAPSED_MS;
	return now;
}

static void take_manifest(struct control *c, const struct store_object *o)
{
	struct fleet_manifest m;
	struct prl_error err = {0};
	char version[24];
	enum prl_code rc = platform_manifest_read(o->value, &m, &err);

	number(version, rc ? 0 : m.version);
	if (!rc)
		rc = knowledge_manifest(&c->fleet.known, &m, &err);
	log_event(rc ? LOG_WARNING_LINE : LOG_AUDIT_LINE, "manifest", "version",
		  version, "error", rc ? err.text : "", NULL);
	if (!rc)
		c->dirty = 1;
}

static void manifest_changed(struct store_follow *f, enum store_change change,
			     const char *name, const struct store_object *o)
{
	if (change == STORE_CHANGE_PUT && !strcmp(name, PLATFORM_MANIFEST_NAME))
		take_manifest(f->ctx, o);
}

static void log_upstream(const struct fleet_upstream *u)
{
	char slots[24];
	char cold[24];
	char sequence[24];

	number(slots, u->slots);
	number(cold, u->cold_ms);
	number(sequence, u->sequence);
	log_event(LOG_AUDIT_LINE, "upstream", "instance", u->instance,
		  "service", u->service, "address", u->address, "domain",
		  u->domain, "state", u->leaving ? "leaving" : "active",
		  "slots", slots, "cold_ms", cold, "sequence", sequence, NULL);
}

/* An entry that can't be read names no upstream to use. */
static void upstream_gone(struct control *c, const char *name, int64_t at,
			  const char *why)
{
	char in_ms[24];

	if (!knowledge_upstream_gone(&c->fleet.known, name, at))
		return;
	number(in_ms, at - prl_now_ms());
	log_event(LOG_AUDIT_LINE, "upstream", "instance", name, "state", "gone",
		  "in_ms", in_ms, "error", why, NULL);
}

static void take_upstream(struct control *c, const char *name,
			  const struct store_object *o, int64_t now)
{
	struct fleet_upstream u;
	struct prl_error err = {0};

	if (platform_upstream_read(name, o->value, &u, &err))
		upstream_gone(c, name, now, err.text);
	else if (knowledge_upstream(&c->fleet.known, &u, now, &err))
		log_event(LOG_WARNING_LINE, "upstream", "instance", name,
			  "error", err.text, NULL);
	else if (c->fleet.known.listed || u.leaving)
		log_upstream(&u);
}

static void upstream_changed(struct store_follow *f, enum store_change change,
			     const char *name, const struct store_object *o)
{
	struct control *c = f->ctx;
	int64_t now = prl_now_ms();
	char n[24];

	switch (change) {
	case STORE_CHANGE_BEGIN:
		knowledge_list_begin(&c->fleet.known);
		return;
	case STORE_CHANGE_PUT:
		take_upstream(c, name, o, now);
		break;
	case STORE_CHANGE_GONE:
		upstream_gone(c, name, gone_at(f, now), "");
		break;
	case STORE_CHANGE_END:
		knowledge_list_end(&c->fleet.known, gone_at(f, now));
		number(n, g_hash_table_size(c->fleet.known.upstream));
		log_event(LOG_AUDIT_LINE, "upstreams_listed", "known", n, NULL);
		break;
	}
	c->dirty = 1;
}

static void evacuation_changed(struct store_follow *f, enum store_change change,
			       const char *name, const struct store_object *o)
{
	struct control *c = f->ctx;
	int64_t now = prl_now_ms();

	(void)o;
	switch (change) {
	case STORE_CHANGE_BEGIN:
		knowledge_evacuations_begin(&c->fleet.known);
		return;
	case STORE_CHANGE_END:
		knowledge_evacuations_end(&c->fleet.known, now);
		break;
	case STORE_CHANGE_PUT:
	case STORE_CHANGE_GONE:
		knowledge_evacuate(&c->fleet.known, name,
				   change == STORE_CHANGE_PUT, now);
		log_event(LOG_AUDIT_LINE, "evacuation", "domain", name, "state",
			  change == STORE_CHANGE_PUT ? "on" : "off", NULL);
		break;
	}
	c->dirty = 1;
}

static void take_vm(struct control *c, const char *name,
		    const struct store_object *o)
{
	struct prl_error err = {0};
	struct fleet_vm vm;

	if (platform_vm_read(name, o->value, &vm, &err)) {
		log_event(LOG_WARNING_LINE, "vm_list", "error", err.text, NULL);
		return;
	}
	if (!strcmp(name, c->settings->vm.name)) {
		c->fleet.own_version = o->version;
		return;
	}
	g_hash_table_replace(c->fleet.vms, g_strdup(name),
			     g_memdup2(&vm, sizeof(vm)));
}

static void vm_changed(struct store_follow *f, enum store_change change,
		       const char *name, const struct store_object *o)
{
	struct control *c = f->ctx;

	switch (change) {
	case STORE_CHANGE_BEGIN:
		g_hash_table_remove_all(c->fleet.vms);
		c->fleet.own_version = 0;
		break;
	case STORE_CHANGE_PUT:
		take_vm(c, name, o);
		break;
	case STORE_CHANGE_GONE:
		g_hash_table_remove(c->fleet.vms, name);
		if (!strcmp(name, c->settings->vm.name))
			c->fleet.own_version = 0;
		break;
	case STORE_CHANGE_END:
		break;
	}
}

static void follow(struct control *c, struct store_follow *f, const char *kind,
		   void (*changed)(struct store_follow *f,
				   enum store_change change, const char *name,
				   const struct store_object *o))
{
	store_follow_init(f, &c->store, kind);
	f->changed = changed;
	f->reached = log_store;
	f->ctx = c;
}

void fleet_init(struct control *c)
{
	const struct prl_settings *s = c->settings;
	struct fleet *f = &c->fleet;

	knowledge_init(&f->known);
	for (int i = 0; i < s->ndomain; i++)
		knowledge_domain(&f->known, s->domain[i].label,
				 s->domain[i].region);
	f->vms = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	follow(c, &f->manifest, PLATFORM_KIND_MANIFEST, manifest_changed);
	follow(c, &f->upstream, PLATFORM_KIND_UPSTREAM, upstream_changed);
	follow(c, &f->evacuation, PLATFORM_KIND_EVACUATION, evacuation_changed);
	follow(c, &f->vm, STORE_KIND_VM, vm_changed);
	f->vm.poll_ms = VM_LIST_EARLY_MS;
}

/* This VM can serve: it has routes, upstreams and evacuations, each whole. */
static int is_whole(const struct fleet *f)
{
	return f->known.manifest.version && f->known.listed &&
	       f->evacuation.confirmed_ms;
}

static void become_ready(struct control *c)
{
	char version[24];

	if (c->fleet.ready || !is_whole(&c->fleet))
		return;
	c->fleet.ready = 1;
	number(version, c->fleet.known.manifest.version);
	log_event(LOG_AUDIT_LINE, "ready", "from", "store", "manifest", version,
		  NULL);
}

static void registered(struct store_call *call)
{
	struct control *c = call->ctx;
	struct fleet *f = &c->fleet;
	int64_t now = prl_now_ms();

	f->registering = 0;
	if (call->err.code) {
		log_event(LOG_WARNING_LINE, "register", "error", call->err.text,
			  NULL);
		/* The entry of an earlier start of this VM is in the way. */
		if (call->err.code == PRL_E_CONFLICT && call->revision)
			f->own_version = call->revision;
		backoff_later(&f->register_backoff, now);
	} else {
		f->registered = 1;
		f->own_version = call->revision;
		log_event(LOG_AUDIT_LINE, "registered", NULL);
	}
	store_call_finish(call);
}

static void start_register(struct control *c, const char *value, int64_t now)
{
	struct store_call *call = &c->fleet.register_call;

	memset(call, 0, sizeof(*call));
	call->op = STORE_PUT;
	snprintf(call->key, sizeof(call->key), STORE_KIND_VM "/%s",
		 c->settings->vm.name);
	call->version = c->fleet.own_version;
	call->value = value;
	call->len = strlen(value);
	call->deadline = now + REGISTER_MAX_MS;
	call->done = registered;
	call->ctx = c;
	if (store_start(&c->store, call, NULL))
		backoff_later(&c->fleet.register_backoff, now);
	else
		c->fleet.registering = 1;
}

static void register_self(struct control *c, int64_t now)
{
	struct fleet *f = &c->fleet;
	const struct member_vm *own = &c->member.peer[0].vm;
	struct fleet_vm vm = {.incarnation = own->incarnation};
	char *text;

	if (f->registered || f->registering || now < f->register_backoff.next ||
	    c->leaving_since || !f->vm.listed)
		return;
	memcpy(vm.region, own->region, sizeof(vm.region));
	memcpy(vm.domain, own->domain, sizeof(vm.domain));
	memcpy(vm.http, own->http, sizeof(vm.http));
	memcpy(vm.rpc, own->rpc, sizeof(vm.rpc));
	text = platform_vm_write(&vm);
	if (!text)
		return;
	start_register(c, text, now);
	free(text);
}

void fleet_leave(struct control *c)
{
	struct fleet *f = &c->fleet;

	if (f->registering)
		store_cancel(&f->register_call);
	f->registering = 0;
	if (f->registered && f->own_version)
		start_register(c, "", prl_now_ms());
}

void fleet_tick(struct control *c, int64_t now)
{
	struct fleet *f = &c->fleet;

	store_follow_tick(&f->manifest, now, control_random());
	store_follow_tick(&f->upstream, now, control_random());
	store_follow_tick(&f->evacuation, now, control_random());
	store_follow_tick(&f->vm, now, control_random());
	if (now > c->started_ms + VM_EARLY_MS)
		f->vm.poll_ms = VM_LIST_MS;
	if (knowledge_expire(&f->known, now))
		c->dirty = 1;
	become_ready(c);
	if (f->ready)
		register_self(c, now);
}

void fleet_finish(struct control *c)
{
	struct fleet *f = &c->fleet;

	if (f->registering)
		store_cancel(&f->register_call);
	store_follow_finish(&f->manifest);
	store_follow_finish(&f->upstream);
	store_follow_finish(&f->evacuation);
	store_follow_finish(&f->vm);
	knowledge_finish(&f->known);
	g_hash_table_destroy(f->vms);
}
