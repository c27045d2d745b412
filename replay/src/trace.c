#include "trace.h"
#include <math.h>
#include <primroselead/hash.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_S 1000000
#define US_PER_MS 1000
#define PERMILLE 1000

/* Rate of a region's callers at a point of time, in requests a second. */
static double rate_at(const struct scenario *s, int region, int64_t at_us)
{
	double turn = (double)at_us / (double)s->rate_period_us +
		      (double)region / s->nregion;
	double wave =
		1 + sin(2 * G_PI * turn) * s->rate_swing_permille / PERMILLE;
	int burst = scenario_fault_factor(s, SCENARIO_BURST, region, 0, at_us);

	return s->rate_per_s * wave * (burst ? (double)burst / PERMILLE : 1);
}

static int random_kind(const struct scenario *s, GRand *random)
{
	int total = 0;
	int at;
	int i = 0;

	for (int k = 0; k < s->nkind; k++)
		total += s->kind[k].share_permille;
	at = g_rand_int_range(random, 0, total);
	while (at >= s->kind[i].share_permille)
		at -= s->kind[i++].share_permille;
	return i;
}

static void generate_region(const struct scenario *s, int region, GRand *random,
			    GArray *out)
{
	int64_t at = 0;

	for (;;) {
		struct arrival a = {.region = region};
		double rate = rate_at(s, region, at);

		at += (int64_t)(-log(1 - g_rand_double(random)) / rate *
				US_PER_S);
		if (at >= s->duration_us)
			return;
		a.at_us = at;
		a.kind = random_kind(s, random);
		if (s->kind[a.kind].nobject)
			a.object_hash = prl_hash_combine(
				prl_hash_combine((uint64_t)region + 1,
						 (uint64_t)a.kind),
				(uint64_t)g_rand_int_range(
					random, 0, s->kind[a.kind].nobject));
		g_array_append_val(out, a);
	}
}

static gint compare_time(gconstpointer a, gconstpointer b)
{
	int64_t x = ((const struct arrival *)a)->at_us;
	int64_t y = ((const struct arrival *)b)->at_us;

	return (x > y) - (x < y);
}

void trace_sort(GArray *arrivals)
{
	g_array_sort(arrivals, compare_time);
}

GArray *trace_generate(const struct scenario *s, uint32_t seed)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	GRand *random = g_rand_new_with_seed(seed);

	for (int r = 0; r < s->nregion; r++)
		generate_region(s, r, random, out);
	g_rand_free(random);
	trace_sort(out);
	return out;
}

static int parse_line(const char *line, const struct scenario *s,
		      struct arrival *a)
{
	char **word = g_strsplit(line, " ", 5);
	int ok = g_strv_length(word) == 4;

	if (ok) {
		a->at_us = strtoll(word[0], NULL, 10) * US_PER_MS;
		a->region = (int)strtol(word[1], NULL, 10);
		a->kind = (int)strtol(word[2], NULL, 10);
		a->object_hash = strtoull(word[3], NULL, 16);
		ok = a->region >= 0 && a->region < s->nregion && a->kind >= 0 &&
		     a->kind < s->nkind;
	}
	g_strfreev(word);
	return ok;
}

enum prl_code trace_read(const char *path, const struct scenario *s, int speed,
			 GArray **out, struct prl_error *err)
{
	char line[128];
	FILE *f = fopen(path, "r");
	int n = 0;

	if (!f)
		return prl_error_set(err, PRL_E_IO,
				     "trace \"%s\" cannot be opened", path);
	*out = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	while (fgets(line, sizeof(line), f)) {
		struct arrival a = {0};

		n++;
		if (line[0] == '#')
			continue;
		if (!parse_line(line, s, &a)) {
			fclose(f);
			g_array_unref(*out);
			return prl_error_set(
				err, PRL_E_CONFIG,
				"line %d of trace \"%s\" is not an "
				"arrival of the scenario",
				n, path);
		}
		a.at_us = a.at_us * PERMILLE / speed;
		g_array_append_val(*out, a);
	}
	fclose(f);
	return PRL_OK;
}
