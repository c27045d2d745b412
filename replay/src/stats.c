#include "request.h"

#define US_PER_S 1000000
#define REGIONS SCENARIO_REGIONS_MAX

void stats_init(struct world_stats *s)
{
	*s = (struct world_stats){0};
	s->latency_us = g_array_new(FALSE, TRUE, sizeof(int64_t));
	s->offered_worth_by_second = g_array_new(FALSE, TRUE, sizeof(int64_t));
	s->earned_worth_by_second = g_array_new(FALSE, TRUE, sizeof(int64_t));
	s->window_runs = g_array_new(FALSE, TRUE, sizeof(int64_t));
}

void stats_finish(struct world_stats *s)
{
	g_array_unref(s->latency_us);
	g_array_unref(s->offered_worth_by_second);
	g_array_unref(s->earned_worth_by_second);
	g_array_unref(s->window_runs);
}

/* Adds to an element of an array that grows as needed. */
static void add_at(GArray *a, int64_t index, int64_t value)
{
	if (index >= a->len)
		g_array_set_size(a, (guint)index + 1);
	g_array_index(a, int64_t, index) += value;
}

void stats_count_request(struct world *w, const struct world_request *r)
{
	struct world_stats *s = &w->stats;
	int worth = w->scenario->kind[r->arrival.kind].worth;

	s->requests++;
	s->offered_worth[r->arrival.region] += worth;
	s->kind_offered_worth[r->arrival.kind] += worth;
	add_at(s->offered_worth_by_second, r->arrival.at_us / US_PER_S, worth);
}

void stats_count_served(struct world *w, const struct world_request *r)
{
	struct world_stats *s = &w->stats;
	const struct scenario_kind *k = &w->scenario->kind[r->arrival.kind];
	int64_t us = w->now_us - r->arrival.at_us;
	int64_t worth = us <= k->objective_us ? k->worth : k->late_worth;

	if (us > k->deadline_us)
		return;
	s->served++;
	g_array_append_val(s->latency_us, us);
	s->earned_worth[r->arrival.region] += worth;
	s->kind_earned_worth[r->arrival.kind] += worth;
	add_at(s->earned_worth_by_second, r->arrival.at_us / US_PER_S, worth);
}

void stats_count_run(struct world *w, const struct world_request *r)
{
	int64_t window = w->now_us / WORLD_WINDOW_US;

	add_at(w->stats.window_runs,
	       (window * REGIONS + r->arrival.region) * REGIONS +
		       r->decision.region,
	       1);
}
