#include "world.h"
#include <primroselead/hash.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

uint32_t choose(struct world *w, uint32_t n)
{
	uint32_t v;

	if (w->input_pos < w->input->nbytes) {
		v = w->input->bytes[w->input_pos++];
		return v % n;
	}
	w->random_state = prl_hash_combine(w->random_state, ++w->input_pos);
	return (uint32_t)(w->random_state >> 16) % n;
}

void oracle_fail(struct world *w, const char *fmt, ...)
{
	va_list ap;

	if (w->result->failure[0])
		return;
	va_start(ap, fmt);
	vsnprintf(w->result->failure, sizeof(w->result->failure), fmt, ap);
	va_end(ap);
}

static void generate_config(struct world *w, struct fake_config *c)
{
	for (int r = 0; r < REGIONS; r++)
		c->capacity[r] = 2 + (int)choose(w, 11);
	c->from_region = (int)choose(w, REGIONS);
	c->to_region =
		(c->from_region + 1 + (int)choose(w, REGIONS - 1)) % REGIONS;
	c->cap_permille = (int)choose(w, 6) * 150;
	c->direction = choose(w, 2) ? 0 : (int)choose(w, 3);
	c->leaving_upstream =
		(int)choose(w, REGIONS * UPSTREAMS_PER_REGION + 1);
}

/* One of two operators publishes a configuration in place of the version that
 * it read last. */
static void publish(struct world *w)
{
	int op = (int)choose(w, OPERATORS);
	const struct fake_object *o = store_find(w, "steer/services/s");
	char text[16];

	if (w->publishing[op] || w->nconfig == CONFIGS_MAX || !w->store_up)
		return;
	/* Sometimes the operator does not read again, so that its write
	 * conflicts. */
	if (w->expected_version[op] < 0 || choose(w, 4))
		w->expected_version[op] = o ? o->version : 0;
	generate_config(w, &w->config[w->nconfig]);
	snprintf(text, sizeof(text), "%d", w->nconfig);
	w->publishing[op] = 1;
	store_send(w, CALL_PUBLISH, -1 - op, "steer/services/s",
		   w->expected_version[op], text, w->nconfig);
	w->nconfig++;
}

/* The platform destroys a VM; its list shows that after VM_LIST_LAG_MS. The
 * list may be wrong about a VM that is paused for longer than its lease: such a
 * VM may run again later. */
static void destroy_vm(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];

	if (v->alive && v->paused && w->now_ms - v->last_tick_ms <= LEASE_MS)
		return;
	if (!v->paused)
		vm_kill(w, i);
	w->vm[i].destroyed = 1;
	w->vm[i].destroyed_at_ms = w->now_ms;
}

static void pause_or_resume(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];

	if (!v->alive)
		return;
	v->paused = !v->paused;
}

static void restart(struct world *w, int i)
{
	if (!w->vm[i].alive)
		vm_start(w, i);
}

/* Moves the clock on. Requests end by their deadlines at the latest, also those
 * of VMs that have ended. */
static void advance(struct world *w, int64_t ms)
{
	w->now_ms += ms;
	store_expire_calls(w);
	for (int i = 0; i < INFLIGHT_MAX; i++) {
		const struct inflight_request *f = &w->inflight[i];

		if (f->used && w->now_ms >= f->deadline_ms)
			vm_finish_request(w, i, 0);
	}
}

/* Most slots are free, so an event that draws one slot rarely finds a call.
 * Here each call and message may make progress. */
static void deliver_messages(struct world *w)
{
	for (int i = 0; i < CALLS_MAX; i++) {
		if (choose(w, 8) == 0)
			store_apply(w, i);
		if (choose(w, 8) == 0)
			store_respond(w, i, choose(w, 10) == 0);
	}
	for (int i = 0; i < MESSAGES_MAX; i++)
		if (choose(w, 3) == 0)
			loans_deliver(w, i, choose(w, 10) == 0,
				      choose(w, 10) == 0);
}

static void inject_failure(struct world *w, int vm)
{
	switch (choose(w, 12)) {
	case 0:
		vm_kill(w, vm);
		break;
	case 1:
		destroy_vm(w, vm);
		break;
	case 2:
	case 3:
		pause_or_resume(w, vm);
		break;
	case 4:
		w->store_up = !w->store_up;
		break;
	case 5:
		w->vm[vm].partitioned = !w->vm[vm].partitioned;
		break;
	case 6:
		if (w->vm[vm].alive)
			w->vm[vm].leaving = 1;
		break;
	case 7:
		/* Time passes, so that other VMs act on what a paused VM
		 * held. */
		for (int i = 0; i < 8; i++) {
			advance(w, 100 + choose(w, 200) * 10);
			vm_tick(w, (int)choose(w, VMS));
			deliver_messages(w);
		}
		break;
	case 8:
		w->store_up = 1;
		break;
	case 9:
	case 10:
		w->vm[vm].paused = 0;
		w->vm[vm].partitioned = 0;
		if (w->vm[vm].alive && choose(w, 2))
			w->vm[vm].destroyed = 0;
		break;
	default:
		restart(w, vm);
		break;
	}
}

static void finish_some_request(struct world *w)
{
	uint32_t start = choose(w, INFLIGHT_MAX / 4) * 4;

	for (uint32_t k = 0; k < INFLIGHT_MAX; k++) {
		uint32_t i = (start + k) % INFLIGHT_MAX;

		if (!w->inflight[i].used)
			continue;
		vm_finish_request(w, (int)i, 0);
		return;
	}
}

/* Runs an event. The bounds below are cumulative weights out of 64. */
static void run_event(struct world *w)
{
	uint32_t type = choose(w, 64);
	int vm = (int)choose(w, VMS);

	if (type < 16)
		vm_tick(w, vm);
	else if (type < 26)
		store_apply(w, (int)choose(w, CALLS_MAX));
	else if (type < 36)
		store_respond(w, (int)choose(w, CALLS_MAX), choose(w, 8) == 0);
	else if (type < 53)
		vm_request(w, vm);
	else if (type < 56)
		finish_some_request(w);
	else if (type < 57 && choose(w, 3) == 0)
		publish(w);
	else if (type < 60)
		advance(w, choose(w, 200) * 2);
	else if (type < 61 || (w->frequent_failures && type < 63))
		inject_failure(w, vm);
	else
		restart(w, vm);
}

/* Repairs all failures, lets all calls and claims end, and checks the final
 * state. */
static void recover(struct world *w)
{
	w->store_up = 1;
	for (int i = 0; i < VMS; i++) {
		w->vm[i].paused = 0;
		w->vm[i].partitioned = 0;
		w->vm[i].destroyed = 0;
		restart(w, i);
	}
	for (int round = 0; round < 100; round++) {
		advance(w, 500);
		for (int i = 0; i < VMS; i++)
			vm_tick(w, i);
		for (int i = 0; i < CALLS_MAX; i++) {
			store_apply(w, i);
			store_respond(w, i, 0);
		}
		for (int i = 0; i < MESSAGES_MAX; i++)
			loans_deliver(w, i, 0, 0);
		oracle_check(w);
	}
	oracle_check_settled(w);
}

int model_run(const struct model_input *in, struct model_result *out)
{
	struct world *w = calloc(1, sizeof(*w));

	if (!w)
		return -1;
	memset(out, 0, sizeof(*out));
	w->input = in;
	w->result = out;
	w->random_state = in->seed;
	w->frequent_failures = in->seed % 2 == 0;
	w->now_ms = 1000000;
	w->store_up = 1;
	w->current_config = -1;
	for (int i = 0; i < VMS; i++)
		vm_start(w, i);
	while (out->events < in->events && !out->failure[0]) {
		run_event(w);
		if (choose(w, 4) == 0)
			deliver_messages(w);
		oracle_check(w);
		out->events++;
	}
	if (!out->failure[0])
		recover(w);
	if (out->failure[0] && in->dump_on_failure)
		dump_world(w);
	for (int i = 0; i < VMS; i++)
		vm_finish(w, i);
	store_free(w);
	free(w);
	return out->failure[0] ? -1 : 0;
}
