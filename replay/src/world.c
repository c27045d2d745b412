#include "request.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <stdio.h>
#include <string.h>

#define US_PER_MS 1000
#define THOUSAND 1000

/* The retry budget of the platform's pages, as the entry VMs use it. */
#define RETRY_EXTRA 32
#define RETRY_PERMILLE 170

/* The users' bound on moves between regions. */
#define SHIFT_PERMILLE 150

/* The clock of the decisions begins here: a time of 0 means "never". */
#define EPOCH_MS 1000000

static int64_t now_ms(const struct world *w)
{
	return EPOCH_MS + w->now_us / US_PER_MS;
}

static gint by_time(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct world_request *x = a;
	const struct world_request *y = b;

	(void)unused;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

void world_after(struct world *w, struct world_request *r, enum step step,
		 int64_t us)
{
	r->at_us = w->now_us + us;
	r->order = w->order++;
	r->step = step;
	g_sequence_insert_sorted(w->events, r, by_time, NULL);
}

static int outstanding(const void *ctx, int cell)
{
	return ((const struct world_vm *)ctx)->outstanding[cell];
}

static struct place_request ask_of(struct world *w,
				   const struct world_request *r)
{
	const struct scenario_kind *k = &w->s->kind[r->arrival.kind];
	struct world_vm *vm = &w->vm[r->vm];

	vm->random = prl_hash_pair(vm->random, r->order);
	return (struct place_request){
		.service = &w->service,
		.nregion = w->s->regions,
		.own_region = vm->region,
		.region_mask = UINT32_MAX,
		.stats = vm->known,
		.state = &vm->state,
		.outstanding = outstanding,
		.ctx = vm,
		.fleet_threads = w->nvm,
		.shift_permille = SHIFT_PERMILLE,
		.object_hash = r->arrival.object,
		.sticky = r->arrival.object != 0,
		.random = vm->random,
		.tried_ids = r->tried,
		.ntried = r->ntried,
		.priority = k->priority,
		.latency_objective_ms = k->objective_us / US_PER_MS,
		.deadline_ms = EPOCH_MS +
			       (r->arrival.at_us + k->deadline_us) / US_PER_MS,
		.now_ms = now_ms(w),
		.now_us = now_ms(w) * US_PER_MS + w->now_us % US_PER_MS,
		.params = &w->weights,
	};
}

static void refuse(struct world *w, struct world_request *r, int64_t wait_ms)
{
	r->served = 0;
	r->retry_after_ms = place_retry_after(wait_ms, w->vm[r->vm].random);
	world_after(w, r, STEP_AT_CALLER, w->s->near_us);
}

static void send_to(struct world *w, struct world_request *r)
{
	struct world_vm *vm = &w->vm[r->vm];
	int i = r->to.upstream;

	if (r->ntried < PLACE_TRIED_MAX)
		r->tried[r->ntried++] = w->upstream[i].id;
	vm->outstanding[i]++;
	if (vm->outstanding[i] > vm->most[i])
		vm->most[i] = vm->outstanding[i];
	r->sent_us = w->now_us;
	world_after(w, r, STEP_AT_UPSTREAM,
		    r->to.region == vm->region ? w->s->near_us : w->s->far_us);
}

static void place(struct world *w, struct world_request *r)
{
	struct place_request ask = ask_of(w, r);

	if (!r->ntried) {
		limit_budget_set_burst(
			&w->vm[r->vm].state.retry_budget,
			RETRY_EXTRA > w->nvm ? RETRY_EXTRA / w->nvm : 1);
		limit_budget_deposit(&w->vm[r->vm].state.retry_budget,
				     RETRY_PERMILLE);
	}
	r->to.wait_ms = PRL_NEVER;
	if (w->rule->choose(&w->vm[r->vm], &ask, &r->to))
		send_to(w, r);
	else
		refuse(w, r, r->to.wait_ms);
}

static void learn(struct world *w, struct world_request *r)
{
	struct world_vm *vm = &w->vm[r->vm];
	int i = r->to.upstream;
	struct place_upstream_stats *k = &vm->known[i];
	struct place_attempt end = {
		.result = r->result,
		.region = r->to.region,
		.duration_us = w->now_us - r->sent_us,
		.queued = r->to.wait_ms > 0,
		.reported_load = r->running >= 0,
	};

	if (r->running >= 0) {
		place_record_load(k, r->running, r->waiting, vm->outstanding[i],
				  now_ms(w));
		vm->load[i].reported_running = r->running + r->waiting;
		vm->load[i].reported_ms = now_ms(w);
	}
	vm->outstanding[i]--;
	place_record_attempt(k, &vm->state, &end, now_ms(w));
}

static int may_repeat(struct world *w, const struct world_request *r)
{
	int once = w->s->kind[r->arrival.kind].once;

	if (r->ntried >= w->s->attempts)
		return 0;
	if (once && r->result != PLACE_REFUSED && r->result != PLACE_UNREACHED)
		return 0;
	return limit_budget_withdraw(&w->vm[r->vm].state.retry_budget);
}

static void answered(struct world *w, struct world_request *r)
{
	learn(w, r);
	if (r->result == PLACE_ANSWERED) {
		r->served = 1;
		world_after(w, r, STEP_AT_CALLER, w->s->near_us);
	} else if (may_repeat(w, r)) {
		place(w, r);
	} else if (r->result == PLACE_REFUSED) {
		refuse(w, r, r->to.wait_ms);
	} else {
		r->served = -1;
		world_after(w, r, STEP_AT_CALLER, w->s->near_us);
	}
}

/* A caller that was refused comes back, to any VM of its region. */
static void come_back(struct world *w, struct world_request *r)
{
	int64_t wait = w->s->impatient ? 0 : r->retry_after_ms * US_PER_MS;

	r->returns++;
	r->ntried = 0;
	r->vm = r->arrival.region * w->s->vms +
		g_rand_int_range(w->random, 0, w->s->vms);
	world_after(w, r, STEP_AT_VM, wait + w->s->near_us);
}

static void at_caller(struct world *w, struct world_request *r)
{
	if (r->served > 0)
		figures_serve(w, r);
	if (!r->served && r->returns < w->s->returns)
		come_back(w, r);
	else
		g_free(r);
}

static void take_step(struct world *w, struct world_request *r)
{
	switch (r->step) {
	case STEP_AT_VM:
		place(w, r);
		break;
	case STEP_AT_UPSTREAM:
		upstream_takes(w, r);
		break;
	case STEP_DONE:
		upstream_ends(w, r);
		break;
	case STEP_ANSWERED:
		answered(w, r);
		break;
	case STEP_AT_CALLER:
		at_caller(w, r);
		break;
	}
}

static void make_upstreams(struct world *w)
{
	const struct scenario *s = w->s;

	w->nupstream = s->regions * s->upstreams;
	w->upstream = g_new0(struct steer_upstream, w->nupstream);
	w->state = g_new0(struct world_upstream, w->nupstream);
	for (int i = 0; i < w->nupstream; i++) {
		int place = i % s->upstreams;

		w->upstream[i].id = prl_hash_pair(w->order, (uint64_t)i + 1);
		w->upstream[i].region = i / s->upstreams;
		w->upstream[i].state = STEER_ACTIVE;
		w->upstream[i].slots = s->slots;
		w->upstream[i].connections_max = s->connections;
		w->upstream[i].stats_index = i;
		w->state[i].region = i / s->upstreams;
		w->state[i].rank = place * THOUSAND / s->upstreams;
		w->state[i].speed = THOUSAND;
		if (s->speeds)
			w->state[i].speed += g_rand_int_range(
				w->random, -s->speeds, s->speeds + 1);
		w->state[i].object = g_new0(uint64_t, s->keep + 1);
		g_queue_init(&w->state[i].waiting);
	}
	w->service.upstream = w->upstream;
	w->service.nupstream = w->nupstream;
	for (int r = 0; r < s->regions; r++) {
		w->service.region[r].first_upstream = r * s->upstreams;
		w->service.region[r].nupstream = s->upstreams;
	}
}

static void make_vms(struct world *w)
{
	w->nvm = w->s->regions * w->s->vms;
	g_assert(w->nvm > 0);
	w->vm = g_new0(struct world_vm, w->nvm);
	for (int i = 0; i < w->nvm; i++) {
		struct world_vm *vm = &w->vm[i];

		*vm = (struct world_vm){
			.region = i / w->s->vms,
			.random = prl_hash_pair((uint64_t)i, w->order),
			.known = g_new0(struct place_upstream_stats,
					w->nupstream),
			.outstanding = g_new0(int, w->nupstream),
			.most = g_new0(int, w->nupstream),
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
		r->vm = r->arrival.region * w->s->vms +
			g_rand_int_range(w->random, 0, w->s->vms);
		w->last_us = r->arrival.at_us;
		figures_owe(w, r);
		world_after(w, r, STEP_AT_VM, r->arrival.at_us + w->s->near_us);
	}
}

void world_play(struct world *w, const struct scenario *s, const GArray *trace,
		const struct rule *rule, const struct place_params *weights,
		uint32_t seed)
{
	memset(w, 0, sizeof(*w));
	w->s = s;
	w->rule = rule;
	w->weights = *weights;
	w->order = seed;
	w->random = g_rand_new_with_seed(seed);
	w->events = g_sequence_new(NULL);
	figures_init(&w->figures);
	make_upstreams(w);
	make_vms(w);
	make_requests(w, trace);
	while (!g_sequence_is_empty(w->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(w->events);
		struct world_request *r = g_sequence_get(first);

		g_sequence_remove(first);
		w->now_us = r->at_us;
		take_step(w, r);
	}
}

void world_finish(struct world *w)
{
	for (int i = 0; i < w->nvm; i++) {
		g_free(w->vm[i].known);
		g_free(w->vm[i].outstanding);
		g_free(w->vm[i].most);
		g_free(w->vm[i].load);
	}
	for (int i = 0; i < w->nupstream; i++)
		g_free(w->state[i].object);
	g_free(w->vm);
	g_free(w->state);
	g_free(w->upstream);
	g_sequence_free(w->events);
	g_rand_free(w->random);
	figures_finish(&w->figures);
}
