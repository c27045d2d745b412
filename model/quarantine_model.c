#include "quarantine_world.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void fail(struct quarantine_world *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void fail(struct quarantine_world *w, const char *fmt, ...)
{
	va_list ap;

	if (w->result->failure[0])
		return;
	va_start(ap, fmt);
	vsnprintf(w->result->failure, sizeof(w->result->failure), fmt, ap);
	va_end(ap);
}

/* Requests */

static int is_guilty(int request)
{
	return request < GUILTY;
}

/* Whether any VM or the store still knows of all three ends. */
static int is_known(struct quarantine_world *w, int request)
{
	struct prl_hash128 digest = world_digest(request);

	if (w->is_kept[request])
		return 1;
	for (int i = 0; i < VMS; i++) {
		const struct quarantine_entry *e =
			quarantine_find(&w->vm[i].table, &digest);

		if (w->vm[i].alive && e && quarantine_is_active(e))
			return 1;
	}
	return 0;
}

/* What the whole fleet has forgotten with its processes, while the store was
 * away, begins anew. */
static void forget_lost(struct quarantine_world *w)
{
	for (int i = 0; i < GUILTY; i++) {
		if (w->ends[i] < QUARANTINE_CRASHES || is_known(w, i))
			continue;
		w->ends[i] = 0;
		w->late[i] = 0;
	}
}

static void count_end(struct quarantine_world *w, int request)
{
	int64_t must_know_ms = w->third_ms[request] > w->disturbed_ms
				       ? w->third_ms[request]
				       : w->disturbed_ms;

	w->result->ends++;
	if (w->ends[request] >= QUARANTINE_CRASHES &&
	    w->now_ms - RUN_MS > must_know_ms + KNOWN_MS) {
		w->late[request]++;
		w->result->late_ends++;
	}
	if (w->late[request] > LATE_ENDS_MAX)
		fail(w,
		     "at %lld ms: request %d has ended %d upstreams after all "
		     "must know",
		     (long long)w->now_ms, request, w->late[request]);
	if (++w->ends[request] == QUARANTINE_CRASHES)
		w->third_ms[request] = w->now_ms;
}

static void end_upstream(struct quarantine_world *w, int upstream)
{
	for (int i = 0; i < RUNS_MAX; i++) {
		struct model_run *r = &w->run[i];

		if (!r->used || r->is_broken || r->upstream != upstream)
			continue;
		r->is_broken = 1;
		r->end_ms = w->now_ms + 1 + world_draw(w, PROBE_MAX_MS);
	}
	w->upstream[upstream].back_ms = w->now_ms + AWAY_MS;
}

static void release(struct model_vm *v, struct model_run *r)
{
	struct prl_hash128 digest = world_digest(r->request);

	if (r->is_alone)
		quarantine_leave(&v->table, &digest);
	r->used = 0;
}

/* A run ends: with a response, with its upstream, or as its VM learns that. */
static void end_run(struct quarantine_world *w, struct model_run *r)
{
	struct model_vm *v = &w->vm[r->vm];
	struct prl_hash128 digest = world_digest(r->request);
	int is_of_vm = v->alive && v->started_ms == r->vm_started_ms;

	if (!r->is_broken && is_guilty(r->request)) {
		count_end(w, r->request);
		end_upstream(w, r->upstream);
		return;
	}
	if (!is_of_vm) {
		r->used = 0;
		return;
	}
	if (r->is_broken) {
		quarantine_crashed(&v->table, &digest, digest.low,
				   r->upstream_id, NULL, w->now_ms);
	} else {
		w->result->innocent_answered++;
		quarantine_clear(&v->table, &digest, w->now_ms);
	}
	release(v, r);
}

static struct model_run *new_run(struct quarantine_world *w)
{
	for (int i = 0; i < RUNS_MAX; i++)
		if (!w->run[i].used)
			return &w->run[i];
	return NULL;
}

static void start_run(struct quarantine_world *w, int vm, int request,
		      int is_alone)
{
	struct model_run *r = new_run(w);
	int u = (int)world_draw(w, UPSTREAMS);
	struct prl_hash128 digest = world_digest(request);

	if (!r || w->now_ms < w->upstream[u].back_ms) {
		if (is_alone)
			quarantine_leave(&w->vm[vm].table, &digest);
		return;
	}
	*r = (struct model_run){
		.used = 1,
		.vm = vm,
		.vm_started_ms = w->vm[vm].started_ms,
		.request = request,
		.upstream = u,
		.upstream_id = w->upstream[u].id,
		.end_ms = w->now_ms + RUN_MS,
		.is_alone = is_alone,
	};
}

static void send_request(struct quarantine_world *w, int request)
{
	int vm = (int)world_draw(w, VMS);
	struct model_vm *v = &w->vm[vm];
	struct prl_hash128 digest = world_digest(request);
	enum quarantine_verdict verdict;

	if (!v->alive || !v->ready)
		return;
	verdict = quarantine_enter(&v->table, &digest, w->now_ms);
	w->result->innocent += !is_guilty(request);
	if (verdict == QUARANTINE_REJECT || verdict == QUARANTINE_BUSY) {
		w->result->innocent_rejected += !is_guilty(request);
		return;
	}
	start_run(w, vm, request, verdict == QUARANTINE_ALONE);
}

/* Faults */

static void kill_vm(struct quarantine_world *w, int i)
{
	w->vm[i].alive = 0;
	w->vm[i].back_ms = w->now_ms + START_MS;
}

static void disturb_until(struct quarantine_world *w, int64_t until_ms)
{
	w->result->faults++;
	if (until_ms > w->disturbed_ms)
		w->disturbed_ms = until_ms;
}

static void inject_fault(struct quarantine_world *w)
{
	int64_t until_ms = w->now_ms + 100 + world_draw(w, FAULT_MAX_MS);

	switch (world_draw(w, 4)) {
	case 0:
		kill_vm(w, (int)world_draw(w, VMS));
		until_ms = w->now_ms + START_MS + LOAD_MAX_MS;
		break;
	case 1:
		for (int i = 0; i < VMS; i++)
			kill_vm(w, i);
		until_ms = w->now_ms + START_MS + LOAD_MAX_MS;
		break;
	case 2:
		for (int i = 0; i < VMS; i++)
			w->vm[i].side = (int)world_draw(w, 2);
		w->whole_again_ms = until_ms;
		break;
	default:
		w->store_back_ms = until_ms;
		break;
	}
	disturb_until(w, until_ms);
}

static void start_vm(struct quarantine_world *w, struct model_vm *v)
{
	memset(v, 0, sizeof(*v));
	v->alive = 1;
	v->started_ms = w->now_ms;
}

static void step_vm(struct quarantine_world *w, int i)
{
	struct model_vm *v = &w->vm[i];

	if (!v->alive && w->now_ms >= v->back_ms)
		start_vm(w, v);
	if (!v->alive)
		return;
	if (!v->ready)
		world_load(w, v);
	world_tell(w, i);
	world_keep(w, i);
}

static void step_upstreams(struct quarantine_world *w)
{
	for (int i = 0; i < UPSTREAMS; i++) {
		if (!w->upstream[i].back_ms ||
		    w->now_ms < w->upstream[i].back_ms)
			continue;
		w->upstream[i].id = ++w->last_id;
		w->upstream[i].back_ms = 0;
	}
}

static void step(struct quarantine_world *w)
{
	w->now_ms += STEP_MS;
	step_upstreams(w);
	for (int i = 0; i < RUNS_MAX; i++)
		if (w->run[i].used && w->now_ms >= w->run[i].end_ms)
			end_run(w, &w->run[i]);
	for (int i = 0; i < MESSAGES_MAX; i++)
		if (w->message[i].used && w->now_ms >= w->message[i].at_ms)
			world_deliver(w, &w->message[i]);
	for (int i = 0; i < VMS; i++)
		step_vm(w, i);
	for (int i = 0; i < REQUESTS; i++)
		if (!world_draw(w, 15))
			send_request(w, i);
	forget_lost(w);
}

static void count_convicted(struct quarantine_world *w)
{
	for (int i = 0; i < VMS; i++)
		for (int k = GUILTY; k < REQUESTS; k++) {
			struct prl_hash128 digest = world_digest(k);

			w->result->innocent_convicted +=
				quarantine_enter(&w->vm[i].table, &digest,
						 w->now_ms) ==
				QUARANTINE_REJECT;
		}
}

int quarantine_model_run(uint64_t seed, int64_t duration_ms,
			 struct quarantine_model_result *out)
{
	struct quarantine_world *w = calloc(1, sizeof(*w));

	if (!w)
		return -1;
	memset(out, 0, sizeof(*out));
	w->result = out;
	w->random_state = seed;
	w->now_ms = 1000000;
	for (int i = 0; i < VMS; i++)
		start_vm(w, &w->vm[i]);
	for (int i = 0; i < UPSTREAMS; i++)
		w->upstream[i].id = ++w->last_id;
	for (int64_t ms = 0; ms < duration_ms && !out->failure[0];
	     ms += STEP_MS) {
		if (ms * 100 < duration_ms * FAULTY_PART_PERCENT &&
		    !world_draw(w, 150))
			inject_fault(w);
		step(w);
	}
	count_convicted(w);
	free(w);
	return out->failure[0] ? -1 : 0;
}
