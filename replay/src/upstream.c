/* A simulated upstream: slots, a FIFO queue, and a cache of objects with LRU
 * eviction. */
#include "request.h"
#include <string.h>

#define PERMILLE 1000

static int fault_factor(const struct world *w, const struct world_upstream *u,
			enum scenario_fault_type type)
{
	return scenario_fault_factor(w->scenario, type, u->region,
				     u->rank_permille, w->now_us);
}

static int64_t link_us(const struct world *w, const struct world_request *r)
{
	return w->vm[r->vm].region == r->decision.region
		       ? w->scenario->local_link_us
		       : w->scenario->remote_link_us;
}

static void send_answer(struct world *w, struct world_request *r,
			enum place_result result)
{
	const struct world_upstream *u =
		&w->upstream_state[r->decision.upstream];
	int lies = fault_factor(w, u, SCENARIO_LYING) != 0;

	r->result = result;
	r->reported_running = lies ? 0 : u->running;
	r->reported_waiting = lies ? 0 : (int)u->queue.length;
	if (fault_factor(w, u, SCENARIO_SILENT) || result == PLACE_UNREACHED)
		r->reported_running = -1;
	world_schedule(w, r, STEP_ANSWER_AT_VM, link_us(w, r));
}

/* Returns whether the object is cached, and makes it the most recently used. */
static int cache_object(const struct world *w, struct world_upstream *u,
			uint64_t object)
{
	int i = 0;
	int found;

	if (!object || !w->scenario->cache_objects)
		return 0;
	while (i < u->ncached && u->cached_object[i] != object)
		i++;
	found = i < u->ncached;
	if (!found && u->ncached < w->scenario->cache_objects)
		u->ncached++;
	if (!found)
		i = u->ncached - 1;
	memmove(u->cached_object + 1, u->cached_object,
		sizeof(*u->cached_object) * (size_t)i);
	u->cached_object[0] = object;
	return found;
}

static int64_t draw_service_time(struct world *w, struct world_upstream *u,
				 const struct scenario_kind *k, int cached)
{
	int64_t us = k->service_time_us * u->service_time_permille / PERMILLE;
	int slow = fault_factor(w, u, SCENARIO_SLOW);

	if (k->service_time_spread_permille)
		us += us *
		      g_rand_int_range(w->random,
				       -k->service_time_spread_permille,
				       k->service_time_spread_permille + 1) /
		      PERMILLE;
	if (cached)
		us -= us * w->scenario->cache_gain_permille / PERMILLE;
	return slow ? us * slow / PERMILLE : us;
}

static void start_run(struct world *w, struct world_request *r)
{
	struct world_upstream *u = &w->upstream_state[r->decision.upstream];
	const struct scenario_kind *k = &w->scenario->kind[r->arrival.kind];
	int cached = cache_object(w, u, r->arrival.object_hash);

	u->running++;
	w->stats.ran++;
	w->stats.cache_hits += cached;
	stats_count_run(w, r);
	world_schedule(w, r, STEP_WORK_DONE,
		       draw_service_time(w, u, k, cached));
}

void upstream_accept(struct world *w, struct world_request *r)
{
	struct world_upstream *u = &w->upstream_state[r->decision.upstream];

	w->stats.sent++;
	if (fault_factor(w, u, SCENARIO_GONE)) {
		w->stats.not_run++;
		send_answer(w, r, PLACE_UNREACHED);
	} else if (u->running < w->scenario->slots) {
		start_run(w, r);
	} else if ((int)u->queue.length < w->scenario->queue_max) {
		g_queue_push_tail(&u->queue, r);
	} else {
		w->stats.refused++;
		send_answer(w, r, PLACE_REFUSED);
	}
}

static int is_past_deadline(const struct world *w,
			    const struct world_request *r)
{
	return w->now_us >
	       r->arrival.at_us +
		       w->scenario->kind[r->arrival.kind].deadline_us;
}

/* Starts the first request of the queue; drops those past their deadline. */
static void start_next_run(struct world *w, struct world_upstream *u)
{
	struct world_request *next;

	while ((next = g_queue_pop_head(&u->queue))) {
		if (!is_past_deadline(w, next)) {
			start_run(w, next);
			return;
		}
		w->stats.not_run++;
		send_answer(w, next, PLACE_FAILED);
	}
}

void upstream_finish_run(struct world *w, struct world_request *r)
{
	struct world_upstream *u = &w->upstream_state[r->decision.upstream];
	int failing = fault_factor(w, u, SCENARIO_FAILING);
	int fails =
		failing && g_rand_int_range(w->random, 0, PERMILLE) < failing;

	u->running--;
	if (fault_factor(w, u, SCENARIO_GONE))
		send_answer(w, r, PLACE_BROKEN);
	else
		send_answer(w, r, fails ? PLACE_FAILED : PLACE_ANSWERED);
	start_next_run(w, u);
}
