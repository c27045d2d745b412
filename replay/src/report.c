#include "report.h"
#include <string.h>

#define PERMILLE 1000
#define US_PER_MS 1000
#define REGIONS SCENARIO_REGIONS_MAX

/* Runs in a window for callers of one region below which the window is ignored,
 * since its shares are too coarse. */
#define WINDOW_RUNS_MIN 20

static int to_permille(int64_t a, int64_t of)
{
	return of ? (int)(a * PERMILLE / of) : 0;
}

static int64_t sum(const int64_t *a, int n)
{
	int64_t total = 0;

	for (int i = 0; i < n; i++)
		total += a[i];
	return total;
}

static int min_permille(const int64_t *earned, const int64_t *offered, int n)
{
	int min = PERMILLE;

	for (int i = 0; i < n; i++)
		if (offered[i] && to_permille(earned[i], offered[i]) < min)
			min = to_permille(earned[i], offered[i]);
	return min;
}

static gint compare_int64(gconstpointer a, gconstpointer b)
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
	       US_PER_MS;
}

/* Gets the runs of one window for one region's callers, by serving region. */
static void get_window_runs(const GArray *runs, int64_t at, int region,
			    int64_t *out)
{
	memset(out, 0, sizeof(*out) * REGIONS);
	for (int r = 0; r < REGIONS; r++) {
		int64_t i = (at * REGIONS + region) * REGIONS + r;

		if (i < runs->len)
			out[r] = g_array_index(runs, int64_t, i);
	}
}

/* Share of runs in other regions than in the window before: the sum of the
 * shares that grew, in permille. */
static int region_change(const int64_t *before, const int64_t *after)
{
	int64_t a = sum(before, REGIONS);
	int64_t b = sum(after, REGIONS);
	int grown = 0;

	if (a < WINDOW_RUNS_MIN || b < WINDOW_RUNS_MIN)
		return 0;
	for (int r = 0; r < REGIONS; r++) {
		int more = to_permille(after[r], b) - to_permille(before[r], a);

		grown += more > 0 ? more : 0;
	}
	return grown;
}

/* Only windows up to the last arrival count: later ones hold the requests that
 * still waited then. */
static int max_region_change(const struct world *w)
{
	const GArray *runs = w->stats.window_runs;
	int64_t windows = w->last_arrival_us / WORLD_WINDOW_US;
	int max = 0;

	for (int64_t at = 1; at < windows; at++) {
		for (int region = 0; region < REGIONS; region++) {
			int64_t before[REGIONS];
			int64_t after[REGIONS];
			int changed;

			get_window_runs(runs, at - 1, region, before);
			get_window_runs(runs, at, region, after);
			changed = region_change(before, after);
			if (changed > max)
				max = changed;
		}
	}
	return max;
}

static int count_connections(const struct world *w)
{
	int n = 0;

	for (int i = 0; i < w->nvm; i++)
		for (int u = 0; u < w->nupstream; u++)
			n += w->vm[i].outstanding_max[u];
	return n;
}

void report_fill(const struct world *w, struct report *out)
{
	const struct world_stats *s = &w->stats;

	g_array_sort(s->latency_us, compare_int64);
	*out = (struct report){
		.earned_permille = to_permille(sum(s->earned_worth, REGIONS),
					       sum(s->offered_worth, REGIONS)),
		.worst_region_permille = min_permille(
			s->earned_worth, s->offered_worth, REGIONS),
		.worst_kind_permille =
			min_permille(s->kind_earned_worth,
				     s->kind_offered_worth, SCENARIO_KINDS_MAX),
		.served_permille = to_permille(s->served, s->requests),
		.p50_ms = percentile_ms(s->latency_us, 50),
		.p99_ms = percentile_ms(s->latency_us, 99),
		.sent_permille = to_permille(s->sent, s->requests),
		.refused_permille = to_permille(s->refused, s->requests),
		.cache_hit_permille = to_permille(s->cache_hits, s->ran),
		.region_change_permille = max_region_change(w),
		.connections = count_connections(w),
	};
}

void report_print_header(FILE *to)
{
	fprintf(to, "%-24s %6s %6s %6s %6s %6s %6s %6s %7s %7s %6s %6s\n",
		"rule", "earned", "region", "kind", "served", "p50 ms",
		"p99 ms", "sent", "refused", "at hand", "moved", "conns");
}

void report_print_row(FILE *to, const char *name, const struct report *r)
{
	fprintf(to, "%-24s %6d %6d %6d %6d %6lld %6lld %6d %7d %7d %6d %6d\n",
		name, r->earned_permille, r->worst_region_permille,
		r->worst_kind_permille, r->served_permille,
		(long long)r->p50_ms, (long long)r->p99_ms, r->sent_permille,
		r->refused_permille, r->cache_hit_permille,
		r->region_change_permille, r->connections);
}

void report_print_series(FILE *to, const char *name, const struct world *w)
{
	const struct world_stats *s = &w->stats;

	fprintf(to, "\"%s\"\n", name);
	for (guint i = 0; i < s->offered_worth_by_second->len; i++) {
		int64_t offered =
			g_array_index(s->offered_worth_by_second, int64_t, i);
		int64_t earned =
			i < s->earned_worth_by_second->len
				? g_array_index(s->earned_worth_by_second,
						int64_t, i)
				: 0;

		fprintf(to, "%u %d\n", i, to_permille(earned, offered));
	}
	fprintf(to, "\n\n");
}
