#include "world.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const region_names[REGIONS] = {"norte", "centro", "sur"};

static void vm_name(int vm, char *name, size_t size)
{
	snprintf(name, size, "vm%d", vm);
}

void vm_start(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];
	int incarnation = v->incarnation + 1;
	struct claim_options claims = {.retention_ms = 600000,
				       .segment_records = SEGMENT_RECORDS};
	char name[16];

	memset(v, 0, sizeof(*v));
	v->alive = 1;
	v->incarnation = incarnation;
	v->last_tick_ms = w->now_ms;
	v->config_index = -1;
	v->exhausted_region = -1;
	v->service.shift.from = STEER_NONE;
	vm_name(i, name, sizeof(name));
	grant_init(&v->grant, name, incarnation, w->now_ms + RECLAIM_DELAY_MS);
	for (int r = 0; r < REGIONS; r++)
		limit_semaphore_init(&v->semaphore[r]);
	claim_init(&v->claims, &claims, NULL);
	spread_init(&v->replica);
	limit_ratio_init(&v->shift_ratio);
}

void vm_finish(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];

	if (!v->alive)
		return;
	grant_finish(&v->grant);
	claim_finish(&v->claims);
	spread_finish(&v->replica);
	v->alive = 0;
}

void vm_kill(struct world *w, int i)
{
	vm_finish(w, i);
}

/* Puts a configuration into force. */
static void install_config(struct world *w, struct fake_vm *v, int64_t version,
			   const char *text)
{
	int index = atoi(text);
	const struct fake_config *c = &w->config[index];
	struct steer_service *s = &v->service;

	if (version < v->highest_version)
		oracle_fail(w, "version %lld came into force after %lld",
			    (long long)version, (long long)v->highest_version);
	v->highest_version = version;
	v->config_index = index;
	memset(s, 0, sizeof(*s));
	s->version = version;
	s->upstream = v->upstream;
	s->nupstream = REGIONS * UPSTREAMS_PER_REGION;
	for (int r = 0; r < REGIONS; r++) {
		struct steer_service_region *p = &s->region[r];

		p->capacity = c->capacity[r];
		p->first_upstream = r * UPSTREAMS_PER_REGION;
		p->nupstream = UPSTREAMS_PER_REGION;
		for (int k = 1; k < REGIONS; k++)
			p->spill[p->nspill++] = (int8_t)((r + k) % REGIONS);
		for (int u = 0; u < UPSTREAMS_PER_REGION; u++) {
			struct steer_upstream *up =
				&v->upstream[r * UPSTREAMS_PER_REGION + u];

			up->slots = 1000;
			up->region = r;
			up->state = c->leaving_upstream ==
						    r * UPSTREAMS_PER_REGION + u
					    ? STEER_LEAVING
					    : STEER_ACTIVE;
		}
	}
	s->shift = (struct steer_shift){
		.from = c->from_region,
		.to = c->to_region,
		.cap_permille = c->cap_permille,
		.step_permille = 250,
		.step_interval_ms = 300,
		.direction = (enum steer_direction)c->direction,
		.plan_id =
			(uint64_t)(c->from_region * REGIONS + c->to_region + 1),
	};
}

static void install(struct world *w, struct fake_vm *v, const char *key,
		    int64_t version, const char *value)
{
	if (spread_install(&v->replica, key, version, value, strlen(value)))
		return;
	if (!strcmp(key, "steer/services/s"))
		install_config(w, v, version, value);
	if (!strcmp(key, "steer/shifts/s")) {
		unsigned long long plan = 0;

		sscanf(value, "%llu %d", &plan,
		       &v->shift_progress.share_permille);
		v->shift_progress.plan_id = plan;
		v->shift_progress_version = version;
		v->shift_progress_seen_ms = w->now_ms;
	}
	if (v->config_index >= 0)
		v->service.shift.share_permille = steer_shift_share(
			&v->service.shift, &v->shift_progress);
}

/* Copies objects from the store if it can be reached, else from the replica of
 * another VM. */
static void sync_vm(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];
	int peer = (int)choose(w, VMS);
	const struct fake_vm *other = &w->vm[peer];
	GPtrArray *found;

	if (w->store_up && !v->partitioned) {
		for (int k = 0; k < w->nobject; k++)
			if (!strncmp(w->object[k].key, "steer/", 6))
				install(w, v, w->object[k].key,
					w->object[k].version,
					w->object[k].value);
		spread_advance(&v->replica, v->replica.complete_revision,
			       w->revision);
		return;
	}
	if (peer == i || !other->alive || other->partitioned || v->partitioned)
		return;
	found = spread_changed_since(&other->replica,
				     v->replica.complete_revision);
	for (guint k = 0; k < found->len; k++) {
		const struct spread_object *o = g_ptr_array_index(found, k);

		install(w, v, o->key, o->version, o->value);
	}
	spread_advance(&v->replica, v->replica.complete_revision,
		       other->replica.complete_revision);
	g_ptr_array_free(found, TRUE);
}

static int count_live(const struct world *w, int region)
{
	int n = 0;

	for (int i = 0; i < VMS; i++)
		if (w->vm[i].alive && (region < 0 || vm_region(i) == region))
			n++;
	return n;
}

static struct grant_destroyed
find_destroyed(const struct world *w, const char **names, char buf[VMS][16])
{
	struct grant_destroyed destroyed = {.vm = names};
	int64_t delay_ms = VM_LIST_LAG_MS + RECLAIM_DELAY_MS;

	for (int i = 0; i < VMS; i++) {
		if (!w->vm[i].destroyed ||
		    w->now_ms < w->vm[i].destroyed_at_ms + delay_ms)
			continue;
		vm_name(i, buf[i], 16);
		names[destroyed.n++] = buf[i];
	}
	return destroyed;
}

static void tick_grant(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];
	const char *names[VMS];
	char buf[VMS][16];
	struct grant_destroyed destroyed = find_destroyed(w, names, buf);
	struct grant_write gw;

	for (int r = 0; r < REGIONS; r++) {
		struct grant_pool *p =
			grant_get_pool(&v->grant, region_names[r]);

		p->semaphore = &v->semaphore[r];
		p->capacity = v->service.region[r].capacity;
		p->config_version = v->service.version;
		p->is_local = vm_region(i) == r;
		p->local_vms = count_live(w, r);
		p->all_vms = count_live(w, -1);
	}
	if (v->leaving)
		grant_release_all(&v->grant);
	switch (grant_next_action(&v->grant, w->now_ms, &destroyed, &gw)) {
	case GRANT_READ:
		store_send(w, CALL_GRANT_READ, i, "grants/s", 0, NULL, 0);
		break;
	case GRANT_WRITE:
		w->result->reclaimed += v->grant.reclaimed_rows;
		store_send(w, CALL_GRANT_WRITE, i, "grants/s",
			   gw.expected_version, gw.text, 0);
		break;
	case GRANT_IDLE:
		break;
	}
}

static void tick_claims(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];
	struct claim_write cw;
	char key[32];

	if (v->claim_call_pending)
		return;
	switch (claim_next_action(&v->claims, w->now_ms, &cw)) {
	case CLAIM_LOAD:
		v->claim_call_pending = 1;
		store_send(w, CALL_CLAIM_LOAD, i, "claims/0/", 0, NULL, 0);
		break;
	case CLAIM_WRITE:
		v->claim_call_pending = 1;
		snprintf(key, sizeof(key), "claims/0/%d", cw.slot);
		store_send(w, CALL_CLAIM_WRITE, i, key, cw.expected_version,
			   cw.text, 0);
		break;
	case CLAIM_IDLE:
		break;
	}
	vm_take_claim_answers(w, i);
}

static void tick_shift(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];
	struct steer_shift_progress next;
	struct steer_shift_input step = {.shift = v->service.shift,
					 .progress = v->shift_progress,
					 .progress_seen_ms =
						 v->shift_progress_seen_ms,
					 .now_ms = w->now_ms};
	char text[48];

	if (v->step_pending || !steer_shift_next_step(&step, &next))
		return;
	v->step_pending = 1;
	snprintf(text, sizeof(text), "%llu %d",
		 (unsigned long long)next.plan_id, next.share_permille);
	store_send(w, CALL_STEP, i, "steer/shifts/s", v->shift_progress_version,
		   text, 0);
}

/* A VM that was suspended for longer than its lease reads the ledger again
 * before it uses its capacity. */
static void confirm_vm(struct fake_vm *v)
{
	if (!v->ledger_reread) {
		grant_invalidate(&v->grant);
		v->ledger_reread = 1;
		return;
	}
	if (!grant_is_valid(&v->grant))
		return;
	v->unconfirmed = 0;
	v->ledger_reread = 0;
}

void vm_tick(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];

	if (!v->alive || v->paused)
		return;
	if (w->now_ms - v->last_tick_ms > LEASE_MS)
		v->unconfirmed = 1;
	v->last_tick_ms = w->now_ms;
	sync_vm(w, i);
	if (v->config_index < 0)
		return;
	if (v->unconfirmed)
		confirm_vm(v);
	tick_grant(w, i);
	loans_tick(w, i);
	tick_claims(w, i);
	if (!v->unconfirmed && !v->leaving)
		tick_shift(w, i);
	/* No renewal once the VM is listed as destroyed, rightly or not: other
	 * VMs may then reuse its capacity after RECLAIM_DELAY_MS. */
	if (!v->unconfirmed && !v->destroyed)
		v->lease_until_ms = w->now_ms + LEASE_MS;
	if (v->leaving && grant_all_released(&v->grant))
		vm_finish(w, i);
}

static void handle_grant_response(struct fake_vm *v, const struct fake_call *c)
{
	const struct fake_object *o = c->snapshot;

	if (c->code == PRL_E_UNSETTLED)
		grant_write_unsettled(&v->grant);
	else if (c->code)
		grant_store_failed(&v->grant);
	else if (c->purpose == CALL_GRANT_WRITE)
		grant_write_done(&v->grant, c->result_version);
	else if (c->nsnapshot)
		grant_read_done(&v->grant, o->version, o->value,
				strlen(o->value), NULL);
	else
		grant_read_done(&v->grant, 0, "", 0, NULL);
}

static void handle_claim_load(struct fake_vm *v, const struct fake_call *c)
{
	struct claim_segment seg[CLAIM_SEGMENT_SLOTS];

	if (c->code) {
		claim_store_failed(&v->claims, PRL_E_STORE_DOWN);
		return;
	}
	for (int k = 0; k < c->nsnapshot; k++)
		seg[k] = (struct claim_segment){
			.slot = atoi(strrchr(c->snapshot[k].key, '/') + 1),
			.version = c->snapshot[k].version,
			.text = c->snapshot[k].value,
			.len = strlen(c->snapshot[k].value)};
	claim_load_done(&v->claims, seg, c->nsnapshot, NULL);
}

static void handle_claim_write(struct world *w, struct fake_vm *v,
			       const struct fake_call *c)
{
	switch (c->code) {
	case PRL_OK:
		claim_write_done(&v->claims, c->result_version, w->now_ms);
		break;
	case PRL_E_CONFLICT:
		claim_write_conflict(&v->claims);
		break;
	case PRL_E_UNSETTLED:
		claim_write_unsettled(&v->claims);
		break;
	default:
		claim_store_failed(&v->claims, PRL_E_STORE_DOWN);
		break;
	}
}

static void handle_publish_response(struct world *w, const struct fake_call *c)
{
	int op = -1 - c->vm;

	w->publishing[op] = 0;
	/* After a failure, a conflict or an unsettled write the operator reads
	 * the store before it publishes again. */
	w->expected_version[op] = c->code ? -1 : c->result_version;
}

void vm_handle_response(struct world *w, struct fake_call *c)
{
	struct fake_vm *v;

	if (c->purpose == CALL_PUBLISH) {
		handle_publish_response(w, c);
		return;
	}
	v = &w->vm[c->vm];
	if (!v->alive || v->incarnation != c->incarnation)
		return;
	switch (c->purpose) {
	case CALL_GRANT_READ:
	case CALL_GRANT_WRITE:
		handle_grant_response(v, c);
		break;
	case CALL_CLAIM_LOAD:
		v->claim_call_pending = 0;
		handle_claim_load(v, c);
		break;
	case CALL_CLAIM_WRITE:
		v->claim_call_pending = 0;
		handle_claim_write(w, v, c);
		break;
	case CALL_STEP:
		v->step_pending = 0;
		break;
	case CALL_PUBLISH:
		break;
	}
	vm_take_claim_answers(w, c->vm);
}
