#include "usage.h"
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/log.h>
#include <string.h>

/* Interval in ms between two reports without a change. */
#define HEARTBEAT_MS 500

/* Interval in ms between two reports while none is answered. */
#define RESEND_MS 200

/*
 * Interval in ms between two questions for the demand of the regions, whose
 * answer is the longest part of a message: in larger fleets than the given
 * number of VMs it grows with them, up to a limit below DEMAND_MAX_AGE_MS.
 */
#define DEMAND_INTERVAL_MS 1000
#define DEMAND_INTERVAL_MAX_MS 4000
#define DEMAND_FLEET_VMS 100

/* Time in ms after which an answer is no longer awaited. */
#define ANSWER_TIMEOUT_MS 1000

/* Time in ms after which the demand of the regions is no longer believed. */
#define DEMAND_MAX_AGE_MS 5000

/* Time in ms for which a limit is updated at each tick after its counts
 * changed, and the interval of updates after that. */
#define ACTIVE_MS 3000
#define IDLE_INTERVAL_MS 500

/* Time in ms after a tick in which the traffic threads use what it has set. */
#define VALID_MS 1000

#define PERMILLE 1000

/* Seeds that tell the limits of workspaces and services of one name apart. */
#define QUOTA_SEED 1
#define RETRY_SEED 2

/** Counts on their way to the aggregator. */
struct report_call {
	struct control *control;
	int64_t sent_ms;
	char to[PRL_ADDRESS_MAX];
	int n;
	uint64_t limit[WIRE_USAGE_MAX];
	struct limit_report report[WIRE_USAGE_MAX];
};

/* Limits of the view */

static struct usage_follower *get_follower(struct control *c, uint64_t id)
{
	struct usage *u = &c->usage;
	struct usage_follower *f = g_hash_table_lookup(u->followers, &id);

	if (!f) {
		f = g_new0(struct usage_follower, 1);
		f->id = id;
		g_hash_table_insert(u->followers, g_memdup2(&id, sizeof(id)),
				    f);
	}
	f->view_sequence = u->view_sequence;
	return f;
}

static void follow_service(struct control *c, const struct steer_service *s)
{
	uint64_t name = prl_hash_string(s->name);
	struct usage_follower *f =
		get_follower(c, prl_hash_combine(name, RETRY_SEED));
	struct limit_terms terms = shared_limit_retry_terms(
		c->bounds.retry_permille, c->bounds.retry_extra);

	g_strlcpy(f->name, s->name, sizeof(f->name));
	f->limit = &c->proxy.service[s->stats_index].retry_budget;
	f->service_index = s->stats_index;
	f->window_ms = c->bounds.retry_window_ms;
	limit_follower_set_terms(&f->follower, &terms);
}

static void follow_workspace(struct control *c, const struct steer_workspace *w)
{
	struct limit_window window = {
		.window_ms = c->bounds.quota_window_ms,
		.overage_permille = c->bounds.quota_overage_permille,
		.slack = c->bounds.quota_slack,
	};
	struct limit_terms terms = shared_limit_quota_terms(
		w->rate_milli, w->burst_milli, &window);
	struct usage_follower *f;

	if (w->rate_milli <= 0 || w->stats_index < 0)
		return;
	f = get_follower(c, prl_hash_combine(w->id, QUOTA_SEED));
	g_strlcpy(f->name, w->name, sizeof(f->name));
	f->limit = &c->proxy.quota[w->stats_index];
	f->service_index = STEER_NONE;
	f->window_ms = c->bounds.quota_window_ms;
	limit_follower_set_terms(&f->follower, &terms);
}

static int is_not_in_view(void *key, void *value, void *ctx)
{
	const struct usage_follower *f = value;
	const struct usage *u = ctx;

	(void)key;
	return f->view_sequence != u->view_sequence;
}

void usage_set_view(struct control *c, const struct steer_view *v)
{
	struct usage *u = &c->usage;

	u->view_sequence++;
	for (int i = 0; i < v->nservice; i++)
		follow_service(c, v->service[i]);
	for (int i = 0; i < v->nworkspace; i++)
		follow_workspace(c, &v->workspace[i]);
	g_hash_table_foreach_remove(u->followers, is_not_in_view, u);
}

/* Answers */

static void update_low(struct usage *u, const struct wire_usage_result *r)
{
	u->heard_permille = (int)MIN(r->heard_permille, PERMILLE);
	u->nlow = r->all_low ? USAGE_ALL_LOW : (int)r->low.low_len;
	for (u_int i = 0; i < r->low.low_len; i++)
		u->low[i] = r->low.low_val[i];
}

static int is_low(const struct usage *u, uint64_t id)
{
	if (u->nlow > USAGE_LOW_MAX)
		return 1;
	for (int i = 0; i < u->nlow; i++)
		if (u->low[i] == id)
			return 1;
	return 0;
}

static void rejoin(struct control *c)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->usage.followers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		limit_follower_rejoin(
			&((struct usage_follower *)value)->follower);
}

static void handle_answers(struct control *c, const struct report_call *call,
			   const struct wire_usage_result *r)
{
	for (u_int i = 0; i < r->answer.answer_len && (int)i < call->n; i++) {
		const struct wire_usage_answer *from = &r->answer.answer_val[i];
		struct usage_follower *f = g_hash_table_lookup(
			c->usage.followers, &call->limit[i]);
		struct limit_answer a = {
			.credit_milli = from->credit_milli,
			.growth_milli = from->growth_milli,
			.demand_milli = from->demand_milli,
		};

		if (f && from->known)
			limit_follower_handle_answer(&f->follower,
						     &call->report[i], &a);
	}
}

static int region_index(const struct control *c, uint64_t id)
{
	for (int i = 0; i < c->builder.nregion; i++)
		if (prl_hash_string(c->builder.region[i]) == id)
			return i;
	return STEER_NONE;
}

static void set_demand(struct control *c, const struct wire_demand *d)
{
	const struct usage_follower *f =
		g_hash_table_lookup(c->usage.followers, &d->limit);
	int region = region_index(c, d->region);

	if (!f || f->service_index == STEER_NONE || region == STEER_NONE)
		return;
	atomic_store(
		&c->proxy.service[f->service_index].region_demand_milli[region],
		d->rate_milli);
}

static void forget_demand(struct control *c)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->usage.followers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct usage_follower *f = value;

		for (int r = 0; r < STEER_REGIONS_MAX; r++)
			if (f->service_index != STEER_NONE)
				atomic_store(&c->proxy.service[f->service_index]
						      .region_demand_milli[r],
					     0);
	}
}

static void handle_result(struct control *c, const struct report_call *call,
			  const struct wire_usage_result *r)
{
	struct usage *u = &c->usage;
	int64_t now = prl_now_ms();

	if (strcmp(call->to, u->aggregator) || call->sent_ms < u->chosen_ms)
		return;
	u->heard_ms = now;
	u->next_heartbeat_ms =
		MAX(u->next_heartbeat_ms, call->sent_ms + HEARTBEAT_MS);
	if (r->demand.demand_len) {
		u->demand_ms = now;
		for (u_int i = 0; i < r->demand.demand_len; i++)
			set_demand(c, &r->demand.demand_val[i]);
	}
	if (!r->counted)
		return;
	if (!u->answered_ms || now - u->answered_ms > USAGE_RELIED_MS)
		rejoin(c);
	if (call->sent_ms >= u->answered_ms) {
		u->answered_ms = call->sent_ms;
		update_low(u, r);
	}
	handle_answers(c, call, r);
}

static void on_reply(void *ctx, const struct wire_result *result)
{
	struct report_call *call = ctx;

	if (result)
		handle_result(call->control, call, &result->u.usage);
	g_free(call);
}

/* Reports */

static void add_report(struct report_call *call, struct usage_follower *f,
		       struct wire_usage_entry *out, int64_t now)
{
	struct limit_report r =
		limit_follower_report(&f->follower, f->limit, now);

	call->limit[call->n] = f->id;
	call->report[call->n] = r;
	out[call->n++] = (struct wire_usage_entry){
		.limit = f->id,
		.taken = (u_int)r.usage.taken,
		.asked = (u_int)r.usage.asked,
		.deposits = (u_int)r.usage.deposits,
		.unconfirmed = (u_int)r.unconfirmed,
		.spent = (u_int)r.spent,
	};
}

/* Collects the counts that are due, as many as fit; the rest follows at the
 * next tick. */
static void collect(struct control *c, struct report_call *call,
		    struct wire_usage_entry *out, int64_t now)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->usage.followers);
	while (g_hash_table_iter_next(&it, NULL, &value) &&
	       call->n < WIRE_USAGE_MAX) {
		struct usage_follower *f = value;

		if (now - f->active_ms <= ACTIVE_MS &&
		    limit_follower_must_report(&f->follower, f->limit, now))
			add_report(call, f, out, now);
	}
}

static void send_to_self(struct control *c, struct report_call *call,
			 const struct wire_usage *usage)
{
	struct usage_reply reply;

	if (!usage_sums_add(c, usage, &reply))
		handle_result(c, call, &reply.result);
	g_free(call);
}

static int64_t demand_interval_ms(const struct control *c)
{
	int64_t vms = MAX(usage_count_vms(c), DEMAND_FLEET_VMS);

	return MIN(DEMAND_INTERVAL_MS * vms / DEMAND_FLEET_VMS,
		   DEMAND_INTERVAL_MAX_MS);
}

static void send_report(struct control *c, struct report_call *call,
			struct wire_usage_entry *entry, int64_t now)
{
	struct usage *u = &c->usage;
	struct wire_args args = {.proc = WIRE_USAGE};
	struct wire_usage *usage = &args.u.usage;
	struct wire_call_options o = {
		.deadline_ms = now + ANSWER_TIMEOUT_MS,
		.done = on_reply,
		.discard = g_free,
		.ctx = call,
	};

	usage->vm = prl_hash_string(c->settings->vm.name);
	usage->region = prl_hash_string(c->settings->vm.region);
	usage->series = u->series;
	usage->sequence = ++u->sequence;
	usage->entry.entry_val = entry;
	usage->entry.entry_len = (u_int)call->n;
	usage->wants_demand = now >= u->next_demand_ms;
	if (usage->wants_demand)
		u->next_demand_ms = now + demand_interval_ms(c);
	if (!call->to[0])
		send_to_self(c, call, usage);
	else if (wire_call(&c->wire, call->to, &args, &o, NULL))
		g_free(call);
}

static struct report_call *new_call(struct control *c, const char *to,
				    int64_t now)
{
	struct report_call *call = g_new0(struct report_call, 1);

	call->control = c;
	call->sent_ms = now;
	g_strlcpy(call->to, to, sizeof(call->to));
	return call;
}

static void report(struct control *c, int64_t now)
{
	struct wire_usage_entry entry[WIRE_USAGE_MAX];
	struct usage *u = &c->usage;
	struct report_call *call = new_call(c, u->aggregator, now);

	collect(c, call, entry, now);
	if (!call->n && now < u->next_heartbeat_ms) {
		g_free(call);
		return;
	}
	u->next_heartbeat_ms = now + RESEND_MS;
	send_report(c, call, entry, now);
}

static void on_first_reply(void *ctx, const struct wire_result *result)
{
	struct report_call *call = ctx;
	struct control *c = call->control;

	if (result && !strcmp(call->to, usage_first_address(c)))
		usage_choose(c, 0, "returned", prl_now_ms());
	g_free(call);
}

/* All VMs are to use one aggregator again after it was out of reach of some. */
static void try_first(struct control *c, int64_t now)
{
	struct usage *u = &c->usage;
	struct wire_args args = {.proc = WIRE_USAGE};
	struct wire_call_options o = {
		.deadline_ms = now + ANSWER_TIMEOUT_MS,
		.done = on_first_reply,
		.discard = g_free,
	};
	const char *first = usage_first_address(c);

	if (!u->rank || now < u->next_return_ms)
		return;
	u->next_return_ms = now + USAGE_RETURN_INTERVAL_MS;
	if (!first[0]) {
		usage_choose(c, 0, "returned", now);
		return;
	}
	o.ctx = new_call(c, first, now);
	args.u.usage.vm = prl_hash_string(c->settings->vm.name);
	args.u.usage.series = u->series;
	args.u.usage.sequence = ++u->sequence;
	if (wire_call(&c->wire, first, &args, &o, NULL))
		g_free(o.ctx);
}

/* Ticks */

static int must_update(struct usage_follower *f, int64_t now)
{
	struct limit_usage usage = shared_limit_usage(f->limit);
	const struct limit_usage *known = &f->follower.usage;

	if (!f->follower.updated_ms || usage.taken != known->taken ||
	    usage.asked != known->asked || usage.deposits != known->deposits)
		f->active_ms = now;
	return now - f->active_ms <= ACTIVE_MS ||
	       now - f->follower.updated_ms >= IDLE_INTERVAL_MS;
}

static void update_limits(struct control *c, int64_t now)
{
	struct usage *u = &c->usage;
	struct limit_fleet fleet = {
		.now_ms = now,
		.vms = usage_count_vms(c),
		.answered_ms = u->answered_ms,
		.heard_permille = u->heard_permille,
	};
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, u->followers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct usage_follower *f = value;

		if (!must_update(f, now))
			continue;
		fleet.is_low = is_low(u, f->id);
		fleet.random = prl_hash_combine(u->series, f->id);
		limit_follower_update(&f->follower, f->limit, &fleet);
	}
	atomic_store(&c->proxy.limits_until_ms, now + VALID_MS);
}

static void log_following(struct control *c, int64_t now)
{
	struct usage *u = &c->usage;
	int following =
		u->answered_ms && now - u->answered_ms <= USAGE_RELIED_MS;
	char vms[LOG_NUMBER_MAX];

	if (following == u->is_following)
		return;
	u->is_following = following;
	log_format_number(vms, usage_count_vms(c));
	log_event(LOG_LEVEL_AUDIT, "shared_limits", "state",
		  following ? "common" : "own part", "vms", vms, NULL);
}

static void publish_metrics(struct control *c, int64_t now)
{
	struct metrics *m = &c->proxy.control_metrics;
	const struct usage *u = &c->usage;
	const struct usage_coverage *coverage = &u->aggregator_state.coverage;

	metrics_set(m, METRIC_USAGE_FOLLOWING, (uint64_t)u->is_following);
	metrics_set(m, METRIC_USAGE_AGE_MS,
		    u->answered_ms ? (uint64_t)(now - u->answered_ms) : 0);
	metrics_set(m, METRIC_USAGE_VMS, (uint64_t)usage_count_vms(c));
	metrics_set(m, METRIC_USAGE_VMS_HEARD,
		    now - u->aggregator_state.last_report_ms <= USAGE_HEARD_MS
			    ? (uint64_t)coverage->heard
			    : 0);
}

void usage_tick(struct control *c, int64_t now)
{
	struct usage *u = &c->usage;

	usage_update_vms(c, now);
	usage_update_choice(c, now);
	try_first(c, now);
	update_limits(c, now);
	report(c, now);
	if (u->demand_ms && now - u->demand_ms > DEMAND_MAX_AGE_MS) {
		u->demand_ms = 0;
		forget_demand(c);
	}
	usage_sums_tick(c, now);
	log_following(c, now);
	publish_metrics(c, now);
}

void usage_init(struct control *c)
{
	struct usage *u = &c->usage;

	u->followers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	u->series = control_random();
	usage_sums_init(c);
}

void usage_finish(struct control *c)
{
	g_hash_table_destroy(c->usage.followers);
	usage_sums_finish(c);
}
