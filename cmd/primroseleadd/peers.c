#include "peers.h"
#include "control.h"
#include "vm_wire.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <stdio.h>
#include <string.h>

/*
 * Interval between probes of registered VMs that are not live members, in ms.
 */
#define REGISTERED_PROBE_INTERVAL_MS 500

/* Timeout and retransmission interval of a broadcast, in ms. */
#define BROADCAST_TIMEOUT_MS 400
#define BROADCAST_RETRANSMIT_MS 100

/* A pending call that probes a VM, directly or through another VM. */
struct probe_call {
	struct control *control;
	/** The probe was requested by another VM, which gets the answer. */
	int for_requester;
	struct wire_request requester;
	/**
	 * Sequence number of the probe in the member table of the VM that
	 * started it; -1 for a probe of a seed or a registered VM, which only
	 * invites it to join.
	 */
	int64_t sequence;
};

struct wire_digest peers_digest(const struct control *c)
{
	return (struct wire_digest){
		.complete =
			c->sync.ready ? c->sync.replica.complete_revision : 0,
		.sum = c->sync.replica.digest,
	};
}

/*
 * Strings of "out" point into "vm", so the caller keeps both until the message
 * is sent.
 */
static void fill_updates(struct control *c, const char *to,
			 struct member_vm *vm, struct wire_vm *out, u_int *n)
{
	int count =
		member_select_updates(&c->members, to, control_random(), vm);

	for (int i = 0; i < count; i++)
		vm_to_wire(&vm[i], &out[i]);
	*n = (u_int)count;
}

static void apply_updates(struct control *c, const struct wire_vm *from,
			  const struct wire_vm *rumor, u_int n)
{
	int64_t now = prl_now_ms();
	struct member_vm vm;

	if (!vm_from_wire(from, &vm))
		member_apply_update(&c->members, &vm, now);
	for (u_int i = 0; i < n; i++)
		if (!vm_from_wire(&rumor[i], &vm))
			member_apply_update(&c->members, &vm, now);
}

static void send_ack(struct control *c, const struct wire_request *r,
		     int64_t sequence)
{
	struct wire_result result = {.proc = r->proc};
	struct wire_ack *ack = &result.u.ack;
	struct wire_vm rumor[MEMBER_UPDATES_MAX];
	struct member_vm vm[MEMBER_UPDATES_MAX];
	char to[PRL_ADDRESS_MAX];

	vm_to_wire(&c->members.peer[0].vm, &ack->from);
	ack->sequence = sequence;
	ack->digest = peers_digest(c);
	ack->rumor.rumor_val = rumor;
	prl_address_format(&r->from, to, sizeof(to));
	fill_updates(c, to, vm, rumor, &ack->rumor.rumor_len);
	wire_reply(&c->wire, r, &result, NULL);
}

static void probe_done(void *ctx, const struct wire_result *result)
{
	struct probe_call *p = ctx;
	struct control *c = p->control;

	if (result) {
		const struct wire_ack *ack = &result->u.ack;

		apply_updates(c, &ack->from, ack->rumor.rumor_val,
			      ack->rumor.rumor_len);
		if (!p->for_requester)
			member_handle_ack(&c->members, p->sequence);
		if (result->proc == WIRE_PROBE)
			sync_handle_digest(c, &ack->digest, ack->from.rpc);
		if (p->for_requester)
			send_ack(c, &p->requester, p->sequence);
	}
	g_free(p);
}

static void send_probe(struct control *c, const char *to, struct probe_call *p)
{
	struct wire_args args = {.proc = WIRE_PROBE};
	struct wire_probe *probe = &args.u.probe;
	struct wire_vm rumor[MEMBER_UPDATES_MAX];
	struct member_vm vm[MEMBER_UPDATES_MAX];
	struct wire_call_options o = {
		.deadline_ms = prl_now_ms() + c->settings->control.heartbeat,
		.done = probe_done,
		.discard = g_free,
		.ctx = p,
	};

	vm_to_wire(&c->members.peer[0].vm, &probe->from);
	probe->sequence = p->sequence;
	probe->digest = peers_digest(c);
	probe->rumor.rumor_val = rumor;
	fill_updates(c, to, vm, rumor, &probe->rumor.rumor_len);
	if (wire_call(&c->wire, to, &args, &o, NULL))
		g_free(p);
}

static void send_indirect(struct control *c, const struct member_probe *m,
			  struct probe_call *p)
{
	struct wire_args args = {.proc = WIRE_INDIRECT};
	struct wire_call_options o = {
		.deadline_ms = prl_now_ms() + c->settings->control.heartbeat,
		.done = probe_done,
		.discard = g_free,
		.ctx = p,
	};

	vm_to_wire(&c->members.peer[0].vm, &args.u.indirect.from);
	args.u.indirect.sequence = m->sequence;
	args.u.indirect.target = (char *)m->target;
	if (wire_call(&c->wire, m->to, &args, &o, NULL))
		g_free(p);
}

static void start_probe(struct control *c, const struct member_probe *m)
{
	struct probe_call *p = g_new0(struct probe_call, 1);

	p->control = c;
	p->sequence = m->sequence;
	switch (m->kind) {
	case MEMBER_PROBE_DIRECT:
		send_probe(c, m->to, p);
		break;
	case MEMBER_PROBE_INDIRECT:
		send_indirect(c, m, p);
		break;
	}
}

/* Probes the seeds of the settings while no other member is known. */
static void probe_seeds(struct control *c)
{
	const struct prl_settings *s = c->settings;

	for (int i = 0; i < s->nseed; i++) {
		struct probe_call *p;

		if (!strcmp(s->seed[i].address, s->listen.rpc))
			continue;
		p = g_new0(struct probe_call, 1);
		p->control = c;
		p->sequence = -1;
		send_probe(c, s->seed[i].address, p);
	}
}

static int is_live(const struct control *c, const struct fleet_vm *vm)
{
	const struct member_peer *p = member_find(&c->members, vm->name);

	return p && p->vm.state != MEMBER_DEAD;
}

/*
 * A registered VM becomes a member only by answering a probe, since the entry
 * of a dead VM stays in the store. Dead members are probed, too: a network
 * partition may have hidden them.
 */
static void probe_registered(struct control *c, int64_t now)
{
	GHashTableIter it;
	void *value;

	if (now < c->registry.next_probe_ms)
		return;
	c->registry.next_probe_ms = now + REGISTERED_PROBE_INTERVAL_MS;
	g_hash_table_iter_init(&it, c->registry.vms);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fleet_vm *vm = value;
		struct probe_call *p;

		if (is_live(c, vm))
			continue;
		p = g_new0(struct probe_call, 1);
		p->control = c;
		p->sequence = -1;
		send_probe(c, vm->rpc, p);
	}
}

static void log_member_events(struct control *c)
{
	struct member_event e;
	char incarnation[24];

	while (member_pop_event(&c->members, &e)) {
		snprintf(incarnation, sizeof(incarnation), "%lld",
			 (long long)e.incarnation);
		log_event(LOG_LEVEL_AUDIT, "member", "name", e.name, "state",
			  member_state_name(e.state), "incarnation",
			  incarnation, "given_up",
			  e.refuted_death ? "yes" : "no", NULL);
	}
	/* Other VMs may have reclaimed this VM's capacity. */
	if (c->peers.refuted_deaths != c->members.refuted_deaths)
		c->unconfirmed = 1;
	c->peers.refuted_deaths = c->members.refuted_deaths;
}

static void count_vms(struct control *c)
{
	memset(c->peers.region_vms, 0, sizeof(c->peers.region_vms));
	c->peers.all_vms = 0;
	for (int i = 0; i < c->members.npeer; i++) {
		const struct member_peer *p = &c->members.peer[i];
		int region;

		if (!member_is_usable(p))
			continue;
		region = config_region_index(&c->builder, p->vm.region);
		c->peers.all_vms++;
		if (region >= 0)
			c->peers.region_vms[region]++;
	}
}

static void members_changed(struct control *c)
{
	c->peers.changes_seen = c->members.usable_changes;
	c->view_outdated = 1;
	count_vms(c);
	c->sync.is_watcher = sync_is_watcher(c);
	if (control_follows_manifest(c))
		readers_members_changed(c);
	claims_assign_owners(c);
}

/*
 * A VM that cannot serve yet sends no probes and answers no calls: as a member
 * it would be named in look-up answers.
 */
static int is_joining(const struct control *c)
{
	return control_follows_manifest(c) && !c->source.ready;
}

void peers_tick(struct control *c, int64_t now)
{
	struct member_probe out[MEMBER_PROBES_MAX];
	int period_begins = now >= c->members.period_end_ms;
	int n;

	if (is_joining(c))
		return;
	n = member_tick(&c->members, now, control_random(), out);

	for (int i = 0; i < n; i++)
		start_probe(c, &out[i]);
	if (period_begins && c->members.npeer == 1)
		probe_seeds(c);
	if (period_begins)
		probe_registered(c, now);
	log_member_events(c);
	if (c->members.usable_changes != c->peers.changes_seen)
		members_changed(c);
}

int peers_is_member(const struct control *c, const struct wire_request *r)
{
	char from[PRL_ADDRESS_MAX];

	prl_address_format(&r->from, from, sizeof(from));
	return member_has_address(&c->members, from);
}

void peers_broadcast(struct control *c, const struct wire_args *args)
{
	struct wire_call_options o = {
		.deadline_ms = prl_now_ms() + BROADCAST_TIMEOUT_MS,
		.retransmit_ms = BROADCAST_RETRANSMIT_MS,
	};

	for (int i = 1; i < c->members.npeer; i++)
		if (member_is_usable(&c->members.peer[i]))
			wire_call(&c->wire, c->members.peer[i].vm.rpc, args, &o,
				  NULL);
}

static int is_listed(const struct control *c, const struct wire_vm *from)
{
	char key[STORE_KEY_MAX];
	const struct spread_object *o;

	snprintf(key, sizeof(key), STORE_PREFIX_VM "%s", from->name);
	o = spread_find(&c->sync.replica, key);
	return o && o->len;
}

/*
 * A new member must send from the address that it announces, and be in the
 * platform's VM list if there is one.
 */
static int may_join(const struct control *c, const struct wire_request *r,
		    const struct wire_vm *from)
{
	char source[PRL_ADDRESS_MAX];

	prl_address_format(&r->from, source, sizeof(source));
	if (strcmp(source, from->rpc))
		return 0;
	return !c->vm_list.has_entries || is_listed(c, from);
}

static void on_probe(struct control *c, const struct wire_request *r,
		     const struct wire_probe *p)
{
	if (!peers_is_member(c, r) && !may_join(c, r, &p->from)) {
		c->wire.rejected_datagrams++;
		return;
	}
	apply_updates(c, &p->from, p->rumor.rumor_val, p->rumor.rumor_len);
	send_ack(c, r, p->sequence);
	sync_handle_digest(c, &p->digest, p->from.rpc);
}

static void on_indirect(struct control *c, const struct wire_request *r,
			const struct wire_indirect *i)
{
	struct probe_call *p = g_new0(struct probe_call, 1);

	p->control = c;
	p->for_requester = 1;
	p->requester = *r;
	p->sequence = i->sequence;
	send_probe(c, i->target, p);
}

/* What a VM that is no member yet may ask for: what it needs to become one. */
static int may_ask_before_joining(const struct wire_args *args)
{
	return args->proc == WIRE_PULL ||
	       (args->proc == WIRE_QUARANTINE &&
		!args->u.quarantine.record.record_len);
}

static void dispatch_call(struct control *c, const struct wire_request *r,
			  const struct wire_args *args)
{
	struct wire_result empty = {.proc = WIRE_PUSH};
	char from[PRL_ADDRESS_MAX];

	prl_address_format(&r->from, from, sizeof(from));
	switch (args->proc) {
	case WIRE_INDIRECT:
		on_indirect(c, r, &args->u.indirect);
		break;
	case WIRE_PUSH:
		sync_handle_push(c, &args->u.push, from);
		wire_reply(&c->wire, r, &empty, NULL);
		break;
	case WIRE_PULL:
		sync_handle_pull(c, r, &args->u.pull);
		break;
	case WIRE_CLAIM:
		claims_handle_remote(c, r, &args->u.claim);
		break;
	case WIRE_BORROW:
		loans_handle_borrow(c, r, &args->u.borrow);
		break;
	case WIRE_RETURN:
		loans_handle_return(c, r, &args->u.give_back);
		break;
	case WIRE_COLD:
		health_handle_cold(c, r, &args->u.cold);
		break;
	case WIRE_NEWS:
		news_handle_remote(c, r, &args->u.news);
		break;
	case WIRE_ISOLATION:
		reach_handle_remote(c, r, &args->u.isolation);
		break;
	case WIRE_BEAT:
		readers_handle_beat(c, &args->u.beat, from);
		break;
	case WIRE_QUARANTINE:
		quarantines_handle_call(c, r, &args->u.quarantine);
		break;
	case WIRE_LOADS:
		loads_handle_remote(c, &args->u.loads);
		break;
	case WIRE_REGION_LOADS:
		loads_handle_region(c, &args->u.region_loads);
		break;
	case WIRE_USAGE:
		usage_sums_handle_remote(c, r, &args->u.usage);
		break;
	case WIRE_CHANGES:
		readers_handle_changes(c, r, &args->u.changes);
		break;
	}
}

static void on_call(void *ctx, const struct wire_request *r,
		    const struct wire_args *args)
{
	struct control *c = ctx;

	if (is_joining(c))
		return;
	if (args->proc == WIRE_PROBE) {
		on_probe(c, r, &args->u.probe);
		return;
	}
	/*
	 * A VM that cannot serve yet is not a member, but may pull the
	 * configuration.
	 */
	if (!peers_is_member(c, r) &&
	    (!may_ask_before_joining(args) || !control_follows_manifest(c))) {
		c->wire.rejected_datagrams++;
		return;
	}
	dispatch_call(c, r, args);
}

enum prl_code peers_init(struct control *c, struct prl_error *err)
{
	const struct prl_settings *s = c->settings;
	struct member_options o = {
		.probe_period_ms = s->control.heartbeat,
		.suspicion_timeout_ms = s->control.suspect,
	};
	struct member_vm self = {.incarnation = s->vm.incarnation};

	if (!self.incarnation)
		self.incarnation = prl_wall_ms();
	memcpy(self.name, s->vm.name, sizeof(self.name));
	memcpy(self.region, s->vm.region, sizeof(self.region));
	memcpy(self.domain, s->vm.domain, sizeof(self.domain));
	memcpy(self.http, s->listen.http, sizeof(self.http));
	memcpy(self.rpc, s->listen.rpc, sizeof(self.rpc));
	if (member_init(&c->members, &self, &o, err))
		return err->code;
	return wire_node_init(&c->wire, &c->loop, s->listen.rpc, on_call, c,
			      err);
}
