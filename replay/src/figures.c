#include "request.h"

#define US_PER_S 1000000
#define REGIONS SCENARIO_REGIONS_MAX

void figures_init(struct world_figures *f)
{
	*f = (struct world_figures){0};
	f->time_us = g_array_new(FALSE, TRUE, sizeof(int64_t));
	f->second_owed = g_array_new(FALSE, TRUE, sizeof(int64_t));
	f->second_earned = g_array_new(FALSE, TRUE, sizeof(int64_t));
	f->moved = g_array_new(FALSE, TRUE, sizeof(int64_t));
}

void figures_finish(struct world_figures *f)
{
	g_array_unref(f->time_us);
	g_array_unref(f->second_owed);
	g_array_unref(f->second_earned);
	g_array_unref(f->moved);
}

static void add(GArray *a, int64_t at, int64_t value)
{
	if (at >= a->len)
		g_array_set_size(a, (guint)at + 1);
	g_array_index(a, int64_t, at) += value;
}

void figures_owe(struct world *w, const struct world_request *r)
{
	struct world_figures *f = &w->figures;
	int worth = w->s->kind[r->arrival.kind].worth;

	f->requests++;
	f->owed[r->arrival.region] += worth;
	f->kind_owed[r->arrival.kind] += worth;
	add(f->second_owed, r->arrival.at_us / US_PER_S, worth);
}

void figures_serve(struct world *w, const struct world_request *r)
{
	struct world_figures *f = &w->figures;
	const struct scenario_kind *k = &w->s->kind[r->arrival.kind];
	int64_t us = w->now_us - r->arrival.at_us;
	int64_t worth = us <= k->objective_us ? k->worth : k->late;

	if (us > k->deadline_us)
		return;
	f->served++;
	g_array_append_val(f->time_us, us);
	f->earned[r->arrival.region] += worth;
	f->kind_earned[r->arrival.kind] += worth;
	add(f->second_earned, r->arrival.at_us / US_PER_S, worth);
}

void figures_run(struct world *w, const struct world_request *r)
{
	int64_t window = w->now_us / WORLD_WINDOW_US;

	add(w->figures.moved,
	    (window * REGIONS + r->arrival.region) * REGIONS + r->to.region, 1);
}
