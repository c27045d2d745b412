#include "request.h"

#define US_PER_S 1000000
#define REGIONS SCENARIO_REGIONS_MAX

void stats_init(struct world_stats *f)
{
	*f = (struct world_stats){0};
	f->latency_us = g_array_new(FALSE, TRUE, sizeof(int64_t));
	f->offered_worth_by_second = g_array_new(FALSE, TRUE, sizeof(int64_t));
	f->earned_worth_by_second = g_array_new(FALSE, TRUE, sizeof(int64_t));
	f->window_runs = g_array_new(FALSE, TRUE, sizeof(int64_t));
}

void stats_finish(struct world_stats *f)
{
	g_array_unref(f->latency_us);
	g_array_unref(f->offered_worth_by_second);
	g_array_unref(f->earned_worth_by_second);
	g_array_unref(f->window_runs);
}

static void add(GArray *a, int64_t at, int64_t value)
{
	if (at >= a->len)
		g_array_set_size(a, (guint)at + 1);
	g_array_index(a, int64_t, at) += value;
}

void stats_count_request(struct world *w, const struct world_request *r)
{
	struct world_stats *f = &w->stats;
	int worth = w->scenario->kind[r->arrival.kind].worth;

	f->requests++;
	f->offered_worth[r->arrival.region] += worth;
	f->kind_offered_worth[r->arrival.kind] += worth;
	add(f->offered_worth_by_second, r->arrival.at_us / US_PER_S, worth);
}

void stats_count_served(struct world *w, const struct world_request *r)
{
	struct world_stats *f = &w->stats;
	const struct scenario_kind *k = &w->scenario->kind[r->arrival.kind];
	int64_t us = w->now_us - r->arrival.at_us;
	int64_t worth = us <= k->objective_us ? k->worth : k->late_worth;

	if (us > k->deadline_us)
		return;
	f->served++;
	g_array_append_val(f->latency_us, us);
	f->earned_worth[r->arrival.region] += worth;
	f->kind_earned_worth[r->arrival.kind] += worth;
	add(f->earned_worth_by_second, r->arrival.at_us / US_PER_S, worth);
}

void stats_count_run(struct world *w, const struct world_request *r)
{
	int64_t window = w->now_us / WORLD_WINDOW_US;

	add(w->stats.window_runs,
	    (window * REGIONS + r->arrival.region) * REGIONS +
		    r->decision.region,
	    1);
}
