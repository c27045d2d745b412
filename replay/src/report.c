#include "report.h"
#include <string.h>

#define THOUSAND 1000
#define REGIONS SCENARIO_REGIONS_MAX

/* Requests of a region in a window below which its moves are not counted. */
#define WINDOW_LEAST 20

static int part(int64_t a, int64_t of)
{
	return of ? (int)(a * THOUSAND / of) : 0;
}

static int64_t sum(const int64_t *a, int n)
{
	int64_t total = 0;

	for (int i = 0; i < n; i++)
		total += a[i];
	return total;
}

static int least_part(const int64_t *earned, const int64_t *owed, int n)
{
	int least = THOUSAND;

	for (int i = 0; i < n; i++)
		if (owed[i] && part(earned[i], owed[i]) < least)
			least = part(earned[i], owed[i]);
	return least;
}

static gint by_value(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t percentile_ms(GArray *sorted, int percent)
{
	if (!sorted->len)
		return 0;
	return g_array_index(sorted, int64_t,
			     (sorted->len - 1) * (guint)percent / 100) /
	       THOUSAND;
}

/* Runs of a window by the region that served them, for one region's callers. */
static void window(const GArray *moved, int64_t at, int region, int64_t *out)
{
	memset(out, 0, sizeof(*out) * REGIONS);
	for (int r = 0; r < REGIONS; r++) {
		int64_t i = (at * REGIONS + region) * REGIONS + r;

		if (i < moved->len)
			out[r] = g_array_index(moved, int64_t, i);
	}
}

/* Share that runs in another region than in the window before. */
static int change(const int64_t *before, const int64_t *after)
{
	int64_t a = sum(before, REGIONS);
	int64_t b = sum(after, REGIONS);
	int up = 0;

	if (a < WINDOW_LEAST || b < WINDOW_LEAST)
		return 0;
	for (int r = 0; r < REGIONS; r++) {
		int more = part(after[r], b) - part(before[r], a);

		up += more > 0 ? more : 0;
	}
	return up;
}

/* Windows in which callers still ask: later ones hold what had waited. */
static int greatest_change(const struct world *w)
{
	const GArray *moved = w->figures.moved;
	int64_t windows = w->last_us / WORLD_WINDOW_US;
	int most = 0;

	for (int64_t at = 1; at < windows; at++) {
		for (int region = 0; region < REGIONS; region++) {
			int64_t before[REGIONS];
			int64_t after[REGIONS];
			int changed;

			window(moved, at - 1, region, before);
			window(moved, at, region, after);
			changed = change(before, after);
			if (changed > most)
				most = changed;
		}
	}
	return most;
}

static int connections(const struct world *w)
{
	int n = 0;

	for (int i = 0; i < w->nvm; i++)
		for (int u = 0; u < w->nupstream; u++)
			n += w->vm[i].most[u];
	return n;
}

void report_make(const struct world *w, struct report *out)
{
	const struct world_figures *f = &w->figures;

	g_array_sort(f->time_us, by_value);
	*out = (struct report){
		.earned = part(sum(f->earned, REGIONS), sum(f->owed, REGIONS)),
		.worst_region = least_part(f->earned, f->owed, REGIONS),
		.worst_kind = least_part(f->kind_earned, f->kind_owed,
					 SCENARIO_KINDS_MAX),
		.served = part(f->served, f->requests),
		.p50_ms = percentile_ms(f->time_us, 50),
		.p99_ms = percentile_ms(f->time_us, 99),
		.sent = part(f->sent, f->requests),
		.refused = part(f->refused, f->requests),
		.at_hand = part(f->at_hand, f->ran),
		.moved = greatest_change(w),
		.connections = connections(w),
	};
}

void report_head(FILE *to)
{
	fprintf(to, "%-24s %6s %6s %6s %6s %6s %6s %6s %7s %7s %6s %6s\n",
		"rule", "earned", "region", "kind", "served", "p50 ms",
		"p99 ms", "sent", "refused", "at hand", "moved", "conns");
}

void report_row(FILE *to, const char *name, const struct report *r)
{
	fprintf(to, "%-24s %6d %6d %6d %6d %6lld %6lld %6d %7d %7d %6d %6d\n",
		name, r->earned, r->worst_region, r->worst_kind, r->served,
		(long long)r->p50_ms, (long long)r->p99_ms, r->sent, r->refused,
		r->at_hand, r->moved, r->connections);
}

void report_series(FILE *to, const char *name, const struct world *w)
{
	const struct world_figures *f = &w->figures;

	fprintf(to, "\"%s\"\n", name);
	for (guint i = 0; i < f->second_owed->len; i++) {
		int64_t owed = g_array_index(f->second_owed, int64_t, i);
		int64_t earned =
			i < f->second_earned->len
				? g_array_index(f->second_earned, int64_t, i)
				: 0;

		fprintf(to, "%u %d\n", i, part(earned, owed));
	}
	fprintf(to, "\n\n");
}
