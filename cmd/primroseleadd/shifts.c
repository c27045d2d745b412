#include "shifts.h"
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/log.h>
#include <stdio.h>
#include <string.h>

#define PERCENT 100

/* Progress of one service's traffic shift as this VM sees it. */
struct shift_tracker {
	char service[PRL_NAME_MAX];
	struct steer_shift_progress progress;
	/* Plan that was in force when the progress was noted. */
	uint64_t plan_id;
	/* When this progress of this plan was first seen; 0 if never. */
	int64_t seen_ms;
	struct store_call call;
	/* Value of the pending write. */
	char value[64];
	int calling;
	struct control *control;
};

void shifts_init(struct control *c)
{
	c->shifts.trackers = g_hash_table_new(g_str_hash, g_str_equal);
}

static struct shift_tracker *get_tracker(struct control *c, const char *service)
{
	struct shift_tracker *t =
		g_hash_table_lookup(c->shifts.trackers, service);

	if (t)
		return t;
	t = g_new0(struct shift_tracker, 1);
	t->control = c;
	/* Services of files, which alone have shifts, have short names. */
	g_strlcpy(t->service, service, sizeof(t->service));
	g_hash_table_insert(c->shifts.trackers, t->service, t);
	return t;
}

/*
 * Rank of this VM among those that advance a service's shift, by rendezvous
 * hashing. Any VM may write a step; the ranks only avoid conflicting writes.
 */
static int find_rank(const struct control *c, const char *service)
{
	int rank[8];
	int n = member_rank(&c->members, NULL,
			    prl_hash_combine(prl_hash_string(service), 1), rank,
			    8);

	for (int i = 0; i < n; i++)
		if (rank[i] == 0)
			return i;
	return n;
}

static void put_done(struct store_call *call)
{
	struct shift_tracker *t = call->ctx;
	const char *result = prl_code_name(call->err.code);

	t->calling = 0;
	log_event(LOG_LEVEL_AUDIT, "shift_step", "service", t->service, "state",
		  t->value, "result", result, NULL);
	/*
	 * A lost answer needs no handling: either the watch reports the step as
	 * written, or the step is found due again.
	 */
	store_call_finish(call);
}

static void put_progress(struct shift_tracker *t, const struct spread_object *o,
			 const struct steer_shift_progress *next, int64_t now)
{
	struct store_call *call = &t->call;

	memset(call, 0, sizeof(*call));
	config_progress_format(next, t->value, sizeof(t->value));
	call->op = STORE_PUT;
	snprintf(call->key, sizeof(call->key), STORE_PREFIX_SHIFT "%s",
		 t->service);
	call->version = o ? o->version : 0;
	call->value = t->value;
	call->len = strlen(t->value);
	call->deadline_ms = now + t->control->settings->store.timeout;
	call->done = put_done;
	call->ctx = t;
	if (!store_call_start(&t->control->store, call, NULL))
		t->calling = 1;
}

/* Latency and load of the shift's target region, as measured on this VM. */
static void read_load(const struct control *c, const struct steer_service *s,
		      struct steer_shift_input *input)
{
	const struct proxy_service_stats *stats =
		&c->proxy.service[s->stats_index];
	int64_t from = atomic_load(&stats->latency_us[s->shift.from]);
	int64_t to = atomic_load(&stats->latency_us[s->shift.to]);
	const struct limit_semaphore *semaphore =
		&c->proxy.semaphore[s->region[s->shift.to].semaphore_index];
	uint32_t size = limit_semaphore_size(semaphore);

	if (from && to)
		input->latency_ratio_percent = (int)(to * PERCENT / from);
	if (size)
		input->load_percent = (int)(limit_semaphore_in_use(semaphore) *
					    PERCENT / size);
}

static void tick_shift(struct control *c, const struct steer_service *s,
		       int64_t now)
{
	struct shift_tracker *t = get_tracker(c, s->name);
	struct steer_shift_progress next;
	struct steer_shift_input input = {.shift = s->shift, .now_ms = now};
	const struct spread_object *o;
	char key[STORE_KEY_MAX];

	snprintf(key, sizeof(key), STORE_PREFIX_SHIFT "%s", t->service);
	o = spread_find(&c->sync.replica, key);
	input.progress = config_progress_parse(o);
	if (input.progress.share_permille != t->progress.share_permille ||
	    input.progress.plan_id != t->progress.plan_id ||
	    s->shift.plan_id != t->plan_id || !t->seen_ms) {
		t->progress = input.progress;
		t->plan_id = s->shift.plan_id;
		t->seen_ms = now;
	}
	/*
	 * Each further rank waits half a step interval longer, and so takes
	 * over only if the VMs before it make no step.
	 */
	input.progress_seen_ms =
		t->seen_ms +
		find_rank(c, s->name) * s->shift.step_interval_ms / 2;
	read_load(c, s, &input);
	if (!t->calling && steer_shift_next_step(&input, &next))
		put_progress(t, o, &next, now);
}

void shifts_tick(struct control *c, int64_t now)
{
	GHashTableIter it;
	void *value;

	if (!c->sync.ready || c->unconfirmed || c->leaving_since_ms)
		return;
	g_hash_table_iter_init(&it, c->builder.services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct steer_service *s = value;

		if (s->shift.from != STEER_NONE)
			tick_shift(c, s, now);
	}
}

void shifts_finish(struct control *c)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->shifts.trackers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct shift_tracker *t = value;

		if (t->calling)
			store_call_cancel(&t->call);
		g_free(t);
	}
	g_hash_table_destroy(c->shifts.trackers);
}
