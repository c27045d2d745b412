#include "request.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <stdio.h>
#include <string.h>

#define US_PER_MS 1000
#define PERMILLE 1000

/* Retry budget that the platform specifies, as the entry VMs apply it: burst of
 * all VMs together, and share of the requests. */
#define RETRY_BUDGET_BURST 32
#define RETRY_BUDGET_PERMILLE 170

/* Share of a region's requests that may change the region in which they run
 * from one window of 2 s to the next, in permille; required by the users. */
#define SHIFT_MAX_PERMILLE 150

/* Start of the decisions' clock, in ms; not 0, as a time of 0 means "never". */
#define CLOCK_START_MS 1000000

static int64_t now_ms(const struct world *w)
{
	return CLOCK_START_MS + w->now_us / US_PER_MS;
}

static gint compare_events(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct world_request *x = a;
	const struct world_request *y = b;

	(void)unused;
	if (x->event_us != y->event_us)
		return x->event_us < y->event_us ? -1 : 1;
	return x->event_order < y->event_order ? -1 : 1;
}

void world_schedule(struct world *w, struct world_request *r,
		    enum request_step step, int64_t us)
{
	r->event_us = w->now_us + us;
	r->event_order = w->next_order++;
	r->step = step;
	g_sequence_insert_sorted(w->events, r, compare_events, NULL);
}

static int outstanding(const void *ctx, int stats_index)
{
	return ((const struct world_vm *)ctx)->outstanding[stats_index];
}

static struct place_request make_place_request(struct world *w,
					       const struct world_request *r)
{
	const struct scenario_kind *k = &w->scenario->kind[r->arrival.kind];
	struct world_vm *vm = &w->vm[r->vm];

	vm->random = prl_hash_combine(vm->random, r->event_order);
	return (struct place_request){
		.service = &w->service,
		.nregion = w->scenario->nregion,
		.region_id = w->region_id,
		.own_region = vm->region,
		.region_mask = UINT32_MAX,
		.stats = vm->stats,
		.state = &vm->service_state,
		.outstanding = outstanding,
		.ctx = vm,
		.vm_threads = 1,
		.fleet_threads = w->nvm,
		.move_max_permille = SHIFT_MAX_PERMILLE,
		.object_hash = r->arrival.object_hash,
		.sticky = r->arrival.object_hash != 0,
		.random = vm->random,
		.tried_ids = r->tried_ids,
		.ntried = r->ntried,
		.priority = k->priority,
		.latency_objective_ms = k->objective_us / US_PER_MS,
		.deadline_ms = CLOCK_START_MS +
			       (r->arrival.at_us + k->deadline_us) / US_PER_MS,
		.now_ms = now_ms(w),
		.now_us = now_ms(w) * US_PER_MS + w->now_us % US_PER_MS,
		.params = &w->params,
	};
}

static void refuse_request(struct world *w, struct world_request *r,
			   int64_t wait_ms)
{
	r->served = 0;
	r->retry_after_ms = place_retry_after(wait_ms, w->vm[r->vm].random);
	world_schedule(w, r, STEP_ANSWER_AT_CALLER, w->scenario->local_link_us);
}

static void send_attempt(struct world *w, struct world_request *r)
{
	struct world_vm *vm = &w->vm[r->vm];
	int i = r->decision.upstream;

	if (r->ntried < PLACE_TRIED_MAX)
		r->tried_ids[r->ntried++] = w->upstream[i].id;
	vm->outstanding[i]++;
	if (vm->outstanding[i] > vm->outstanding_max[i])
		vm->outstanding_max[i] = vm->outstanding[i];
	r->attempt_started_us = w->now_us;
	world_schedule(w, r, STEP_AT_UPSTREAM,
		       r->decision.region == vm->region
			       ? w->scenario->local_link_us
			       : w->scenario->remote_link_us);
}

static void place_or_refuse(struct world *w, struct world_request *r)
{
	struct place_request request = make_place_request(w, r);

	if (!r->ntried) {
		limit_budget_set_burst(&w->vm[r->vm].service_state.retry_budget,
				       RETRY_BUDGET_BURST > w->nvm
					       ? RETRY_BUDGET_BURST / w->nvm
					       : 1);
		limit_budget_deposit(&w->vm[r->vm].service_state.retry_budget,
				     RETRY_BUDGET_PERMILLE);
	}
	r->decision.wait_ms = PRL_NEVER;
	if (w->rule->choose(&w->vm[r->vm], &request, &r->decision))
		send_attempt(w, r);
	else
		refuse_request(w, r, r->decision.wait_ms);
}

static void record_attempt(struct world *w, struct world_request *r)
{
	struct world_vm *vm = &w->vm[r->vm];
	int i = r->decision.upstream;
	struct place_upstream_stats *stats = &vm->stats[i];
	struct place_attempt attempt = {
		.result = r->result,
		.region = r->decision.region,
		.sticky = r->arrival.object_hash != 0,
		.duration_us = w->now_us - r->attempt_started_us,
		.queued = r->decision.wait_ms > 0,
		.reported_load = r->reported_running >= 0,
	};

	if (r->reported_running >= 0) {
		place_record_load(stats, r->reported_running,
				  r->reported_waiting, vm->outstanding[i],
				  now_ms(w));
		vm->load[i].reported_running =
			r->reported_running + r->reported_waiting;
		vm->load[i].reported_ms = now_ms(w);
	}
	vm->outstanding[i]--;
	place_record_attempt(stats, &vm->service_state, &attempt, now_ms(w));
}

/* Returns 1 and charges the retry budget if another attempt is allowed. */
static int may_retry(struct world *w, const struct world_request *r)
{
	int at_most_once = w->scenario->kind[r->arrival.kind].at_most_once;

	if (r->ntried >= w->scenario->attempts_max)
		return 0;
	if (at_most_once && r->result != PLACE_REFUSED &&
	    r->result != PLACE_UNREACHED)
		return 0;
	return limit_budget_withdraw(&w->vm[r->vm].service_state.retry_budget);
}

static void handle_answer(struct world *w, struct world_request *r)
{
	record_attempt(w, r);
	if (r->result == PLACE_ANSWERED) {
		r->served = 1;
		world_schedule(w, r, STEP_ANSWER_AT_CALLER,
			       w->scenario->local_link_us);
	} else if (may_retry(w, r)) {
		place_or_refuse(w, r);
	} else if (r->result == PLACE_REFUSED) {
		refuse_request(w, r, r->decision.wait_ms);
	} else {
		r->served = -1;
		world_schedule(w, r, STEP_ANSWER_AT_CALLER,
			       w->scenario->local_link_us);
	}
}

/* A caller that was refused sends its request again, to a random VM of its
 * region. */
static void retry_as_caller(struct world *w, struct world_request *r)
{
	int64_t wait = w->scenario->retry_immediately
			       ? 0
			       : r->retry_after_ms * US_PER_MS;

	r->caller_retries++;
	r->ntried = 0;
	r->vm = r->arrival.region * w->scenario->vms_per_region +
		g_rand_int_range(w->random, 0, w->scenario->vms_per_region);
	world_schedule(w, r, STEP_AT_VM, wait + w->scenario->local_link_us);
}

static void handle_caller_answer(struct world *w, struct world_request *r)
{
	if (r->served > 0)
		stats_count_served(w, r);
	if (!r->served && r->caller_retries < w->scenario->caller_retries_max)
		retry_as_caller(w, r);
	else
		g_free(r);
}

static void run_step(struct world *w, struct world_request *r)
{
	switch (r->step) {
	case STEP_AT_VM:
		place_or_refuse(w, r);
		break;
	case STEP_AT_UPSTREAM:
		upstream_accept(w, r);
		break;
	case STEP_WORK_DONE:
		upstream_finish_run(w, r);
		break;
	case STEP_ANSWER_AT_VM:
		handle_answer(w, r);
		break;
	case STEP_ANSWER_AT_CALLER:
		handle_caller_answer(w, r);
		break;
	}
}

static void make_upstreams(struct world *w)
{
	const struct scenario *s = w->scenario;

	w->nupstream = s->nregion * s->upstreams_per_region;
	w->upstream = g_new0(struct steer_upstream, w->nupstream);
	w->upstream_state = g_new0(struct world_upstream, w->nupstream);
	for (int i = 0; i < w->nupstream; i++) {
		int index = i % s->upstreams_per_region;

		w->upstream[i].id =
			prl_hash_combine(w->next_order, (uint64_t)i + 1);
		w->upstream[i].region = i / s->upstreams_per_region;
		w->upstream[i].state = STEER_ACTIVE;
		w->upstream[i].slots = s->slots;
		w->upstream[i].connections_max = s->connections_max;
		w->upstream[i].stats_index = i;
		w->upstream_state[i].region = i / s->upstreams_per_region;
		w->upstream_state[i].rank_permille =
			index * PERMILLE / s->upstreams_per_region;
		w->upstream_state[i].service_time_permille = PERMILLE;
		if (s->speed_spread_permille)
			w->upstream_state[i].service_time_permille +=
				g_rand_int_range(w->random,
						 -s->speed_spread_permille,
						 s->speed_spread_permille + 1);
		w->upstream_state[i].cached_object =
			g_new0(uint64_t, s->cache_objects + 1);
		g_queue_init(&w->upstream_state[i].queue);
	}
	w->service.upstream = w->upstream;
	w->service.nupstream = w->nupstream;
	for (int r = 0; r < s->nregion; r++) {
		w->region_id[r] = (uint64_t)r;
		w->service.region[r].first_upstream =
			r * s->upstreams_per_region;
		w->service.region[r].nupstream = s->upstreams_per_region;
	}
}

static void make_vms(struct world *w)
{
	w->nvm = w->scenario->nregion * w->scenario->vms_per_region;
	g_assert(w->nvm > 0);
	w->vm = g_new0(struct world_vm, w->nvm);
	for (int i = 0; i < w->nvm; i++) {
		struct world_vm *vm = &w->vm[i];

		*vm = (struct world_vm){
			.region = i / w->scenario->vms_per_region,
			.random = prl_hash_combine((uint64_t)i, w->next_order),
			.stats = g_new0(struct place_upstream_stats,
					w->nupstream),
			.outstanding = g_new0(int, w->nupstream),
			.outstanding_max = g_new0(int, w->nupstream),
			.load = g_new0(struct steer_upstream_load,
				       w->nupstream),
		};
		for (int u = 0; u < w->nupstream; u++)
			vm->load[u].reported_running = -1;
	}
}

static void make_requests(struct world *w, const GArray *trace)
{
	for (guint i = 0; i < trace->len; i++) {
		struct world_request *r = g_new0(struct world_request, 1);

		r->arrival = g_array_index(trace, struct arrival, i);
		r->vm = r->arrival.region * w->scenario->vms_per_region +
			g_rand_int_range(w->random, 0,
					 w->scenario->vms_per_region);
		w->last_arrival_us = r->arrival.at_us;
		stats_count_request(w, r);
		world_schedule(w, r, STEP_AT_VM,
			       r->arrival.at_us + w->scenario->local_link_us);
	}
}

void world_play(struct world *w, const struct scenario *s, const GArray *trace,
		const struct rule *rule, const struct place_params *params,
		uint32_t seed)
{
	memset(w, 0, sizeof(*w));
	w->scenario = s;
	w->rule = rule;
	w->params = *params;
	w->next_order = seed;
	w->random = g_rand_new_with_seed(seed);
	w->events = g_sequence_new(NULL);
	stats_init(&w->stats);
	make_upstreams(w);
	make_vms(w);
	make_requests(w, trace);
	while (!g_sequence_is_empty(w->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(w->events);
		struct world_request *r = g_sequence_get(first);

		g_sequence_remove(first);
		w->now_us = r->event_us;
		run_step(w, r);
	}
}

void world_finish(struct world *w)
{
	for (int i = 0; i < w->nvm; i++) {
		g_free(w->vm[i].stats);
		g_free(w->vm[i].outstanding);
		g_free(w->vm[i].outstanding_max);
		g_free(w->vm[i].load);
	}
	for (int i = 0; i < w->nupstream; i++)
		g_free(w->upstream_state[i].cached_object);
	g_free(w->vm);
	g_free(w->upstream_state);
	g_free(w->upstream);
	g_sequence_free(w->events);
	g_rand_free(w->random);
	stats_finish(&w->stats);
}
