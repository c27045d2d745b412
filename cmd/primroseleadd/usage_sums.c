/* The aggregator's side of the limits that all VMs share. */
#include "control.h"
#include <primroselead/clock.h>

/* Time in ms over which the demand of a region is averaged. */
#define DEMAND_AVERAGE_MS 3000

/* Interval in ms at which what is old is forgotten. */
#define FORGET_INTERVAL_MS 5000

_Static_assert(USAGE_LOW_MAX == WIRE_LOW_MAX, "a list fits its message");

void usage_sums_init(struct control *c)
{
	struct usage *u = &c->usage;

	usage_aggregator_init(&u->aggregator_state);
	u->demand = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  g_free);
}

void usage_sums_finish(struct control *c)
{
	usage_aggregator_finish(&c->usage.aggregator_state);
	g_hash_table_destroy(c->usage.demand);
}

static struct usage_demand *get_demand(struct control *c, uint64_t limit)
{
	struct usage_demand *d = g_hash_table_lookup(c->usage.demand, &limit);

	if (d)
		return d;
	d = g_new0(struct usage_demand, 1);
	g_hash_table_insert(c->usage.demand, g_memdup2(&limit, sizeof(limit)),
			    d);
	return d;
}

/* Regions beyond STEER_REGIONS_MAX are in no view. */
static struct usage_rate *get_rate(struct usage_demand *d, uint64_t region)
{
	for (int i = 0; i < d->nregion; i++)
		if (d->region[i] == region)
			return &d->rate[i];
	if (d->nregion == STEER_REGIONS_MAX)
		return NULL;
	d->region[d->nregion] = region;
	return &d->rate[d->nregion++];
}

static void count_demand(struct control *c, uint64_t limit, uint64_t region,
			 int64_t requests, int64_t now)
{
	struct usage_rate *rate = get_rate(get_demand(c, limit), region);

	if (rate)
		usage_rate_add(rate, requests, DEMAND_AVERAGE_MS, now);
}

static void add_entry(struct control *c, const struct wire_usage *report,
		      const struct wire_usage_entry *e,
		      struct wire_usage_answer *out, int64_t now)
{
	const struct usage_follower *f =
		g_hash_table_lookup(c->usage.followers, &e->limit);
	struct usage_sender from = {report->vm, report->series,
				    report->sequence};
	struct usage_counts counts = {
		.taken = e->taken,
		.asked = e->asked,
		.deposits = e->deposits,
		.unconfirmed = e->unconfirmed,
		.spent = e->spent,
	};
	struct usage_rule rule;
	struct limit_answer a;
	struct limit_usage since;

	*out = (struct wire_usage_answer){0};
	/* This VM's configuration may be older than the sender's. */
	if (!f)
		return;
	rule.terms = f->follower.terms;
	rule.window_ms = f->window_ms;
	a = usage_aggregator_add(&c->usage.aggregator_state, e->limit, &rule,
				 &from, &counts, &since, now);
	if (f->service_index != STEER_NONE)
		count_demand(c, e->limit, report->region, since.deposits, now);
	/* Without a VM that is counted there is no credit to tell of. */
	out->known = c->usage.aggregator_state.coverage.heard > 0;
	out->credit_milli = a.credit_milli;
	out->growth_milli = (u_int)CLAMP(a.growth_milli, 0, UINT32_MAX);
	out->demand_milli = (u_int)CLAMP(a.demand_milli, 0, UINT32_MAX);
}

static u_int fill_demand(struct control *c, struct wire_demand *out,
			 int64_t now)
{
	GHashTableIter it;
	void *key, *value;
	u_int n = 0;

	g_hash_table_iter_init(&it, c->usage.demand);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct usage_demand *d = value;

		for (int i = 0; i < d->nregion && n < WIRE_DEMAND_MAX; i++) {
			int64_t milli = usage_rate_milli(
				&d->rate[i], DEMAND_AVERAGE_MS, now);

			out[n++] = (struct wire_demand){
				*(uint64_t *)key, d->region[i],
				(u_int)MIN(milli, UINT32_MAX)};
		}
	}
	return n;
}

static void fill_low(struct control *c, struct usage_reply *out, int64_t now)
{
	int n = usage_aggregator_list_low(&c->usage.aggregator_state, out->low,
					  now);

	out->result.all_low = n > USAGE_LOW_MAX;
	out->result.low.low_val = out->low;
	out->result.low.low_len = n > USAGE_LOW_MAX ? 0 : (u_int)n;
}

int usage_sums_add(struct control *c, const struct wire_usage *report,
		   struct usage_reply *out)
{
	struct usage_sender from = {report->vm, report->series,
				    report->sequence};
	struct wire_usage_result *result = &out->result;
	int64_t now = prl_now_ms();
	const struct usage_vm *vm = usage_aggregator_hear(
		&c->usage.aggregator_state, &from, usage_count_vms(c), now);

	if (!vm)
		return -1;
	*result = (struct wire_usage_result){0};
	for (u_int i = 0; i < report->entry.entry_len; i++)
		add_entry(c, report, &report->entry.entry_val[i],
			  &out->answer[i], now);
	result->counted = usage_vm_is_counted(vm, now);
	result->answer.answer_val = out->answer;
	result->answer.answer_len = report->entry.entry_len;
	result->heard_permille = (u_int)usage_aggregator_heard_permille(
		&c->usage.aggregator_state);
	fill_low(c, out, now);
	result->demand.demand_val = out->demand;
	if (report->wants_demand)
		result->demand.demand_len = fill_demand(c, out->demand, now);
	return 0;
}

void usage_sums_handle_remote(struct control *c, const struct wire_request *r,
			      const struct wire_usage *report)
{
	struct usage_reply reply;
	struct wire_result result = {.proc = WIRE_USAGE};

	if (usage_sums_add(c, report, &reply))
		return;
	result.u.usage = reply.result;
	wire_reply(&c->wire, r, &result, NULL);
}

static int is_unknown_limit(void *key, void *value, void *ctx)
{
	const struct control *c = ctx;

	(void)value;
	return !g_hash_table_contains(c->usage.followers, key);
}

void usage_sums_tick(struct control *c, int64_t now)
{
	if (now < c->usage.next_forget_ms)
		return;
	c->usage.next_forget_ms = now + FORGET_INTERVAL_MS;
	usage_aggregator_forget(&c->usage.aggregator_state, now);
	g_hash_table_foreach_remove(c->usage.demand, is_unknown_limit, c);
}
