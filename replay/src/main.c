/* Replays a load against simulated entry VMs and upstreams, once for each rule,
 * and prints a table of the results: shares in permille, times in ms. */
#include "report.h"
#include <argtable2.h>
#include <stddef.h>
#include <string.h>

/* An option that sets a field of struct place_params. */
struct param_option {
	const char *option;
	const char *unit;
	size_t offset;
};

#define AT(field) offsetof(struct place_params, field)

static const struct param_option param_options[] = {
	{"homes", "N", AT(home_count)},
	{"second-loss", "PERMILLE", AT(second_home_penalty_permille)},
	{"later-loss", "PERMILLE", AT(non_home_penalty_permille)},
	{"idle", "PERMILLE", AT(idle_max_permille)},
	{"failure", "PERMILLE", AT(failure_penalty_permille)},
	{"wait", "PERMILLE", AT(wait_max_permille)},
	{"wait-urgent", "PERMILLE", AT(urgent_wait_max_permille)},
};

#define PARAM_OPTIONS (sizeof(param_options) / sizeof(param_options[0]))

/* Arguments other than those of param_options. */
#define OTHER_ARGUMENTS 12
#define ARGUMENTS (PARAM_OPTIONS + OTHER_ARGUMENTS)

static struct {
	struct arg_file *scenario;
	struct arg_file *trace;
	struct arg_int *speed;
	struct arg_int *seed;
	struct arg_int *seeds;
	struct arg_str *rule;
	struct arg_int *param[PARAM_OPTIONS];
	struct arg_file *series;
	struct arg_file *record;
	struct arg_str *service;
	struct arg_str *regions;
	struct arg_lit *help;
	struct arg_end *end;
} arg;

static void **make_arguments(void)
{
	static void *table[ARGUMENTS];
	int n = 0;

	table[n++] = arg.scenario =
		arg_file0(NULL, NULL, "SCENARIO",
			  "scenario file: deployment, load and faults");
	table[n++] = arg.trace =
		arg_file0(NULL, "trace", "FILE",
			  "replay a recorded trace instead of a generated one");
	table[n++] = arg.speed =
		arg_int0(NULL, "speed", "PERMILLE",
			 "speed of the recorded trace, default 1000");
	table[n++] = arg.seed =
		arg_int0(NULL, "seed", "N", "first seed, default 1");
	table[n++] = arg.seeds =
		arg_int0(NULL, "seeds", "N",
			 "number of seeds, of which the median result is "
			 "printed, default 1");
	table[n++] = arg.rule = arg_strn(NULL, "rule", "NAME", 0, 8,
					 "only this rule; may be repeated");
	for (size_t i = 0; i < PARAM_OPTIONS; i++)
		table[n++] = arg.param[i] = arg_int0(
			NULL, param_options[i].option, param_options[i].unit,
			"parameter of the rule \"place\"");
	table[n++] = arg.series =
		arg_file0(NULL, "series", "FILE",
			  "write the worth earned by second, for gnuplot");
	table[n++] = arg.record =
		arg_file0(NULL, "record", "LOG",
			  "print a trace of this log instead of a replay");
	table[n++] = arg.service =
		arg_str0(NULL, "service", "NAME",
			 "with --record: service whose requests are printed");
	table[n++] = arg.regions =
		arg_str0(NULL, "regions", "NAMES",
			 "with --record: parts of VM names, one a region, "
			 "separated by commas");
	table[n++] = arg.help = arg_lit0(NULL, "help", "print this help");
	table[n++] = arg.end = arg_end(4);
	return table;
}

static int int_option(const struct arg_int *a, int fallback)
{
	return a->count ? a->ival[0] : fallback;
}

static const char *string_option(const struct arg_str *a)
{
	return a->count ? a->sval[0] : "";
}

static struct place_params params_from_options(void)
{
	struct place_params params = place_default_params;

	for (size_t i = 0; i < PARAM_OPTIONS; i++) {
		int *value = (int *)((char *)&params + param_options[i].offset);

		*value = int_option(arg.param[i], *value);
	}
	return params;
}

static int is_rule_selected(const char *rule)
{
	for (int i = 0; i < arg.rule->count; i++)
		if (!strcmp(arg.rule->sval[i], rule))
			return 1;
	return !arg.rule->count;
}

static gint compare_earned(gconstpointer a, gconstpointer b)
{
	const struct report *x = a;
	const struct report *y = b;

	return x->earned_permille - y->earned_permille;
}

static enum prl_code load_trace(const struct scenario *s, uint32_t seed,
				GArray **out, struct prl_error *err)
{
	if (arg.trace->count)
		return trace_read(arg.trace->filename[0], s,
				  int_option(arg.speed, 1000), out, err);
	*out = trace_generate(s, seed);
	return PRL_OK;
}

/* Replays a rule with each seed and prints the result with the median worth. */
static enum prl_code play(const struct scenario *s, const struct rule *rule,
			  FILE *series, struct prl_error *err)
{
	struct place_params params = params_from_options();
	int seeds = int_option(arg.seeds, 1);
	GArray *reports = g_array_new(FALSE, FALSE, sizeof(struct report));

	for (int i = 0; i < seeds; i++) {
		uint32_t seed = (uint32_t)(int_option(arg.seed, 1) + i);
		struct world w;
		struct report r;
		GArray *trace;

		if (load_trace(s, seed, &trace, err)) {
			g_array_unref(reports);
			return err->code;
		}
		world_play(&w, s, trace, rule, &params, seed);
		report_fill(&w, &r);
		g_array_append_val(reports, r);
		if (series && !i)
			report_print_series(series, rule->name, &w);
		world_finish(&w);
		g_array_unref(trace);
	}
	g_array_sort(reports, compare_earned);
	report_print_row(stdout, rule->name,
			 &g_array_index(reports, struct report, seeds / 2));
	g_array_unref(reports);
	return PRL_OK;
}

static enum prl_code play_all(const char *path, struct prl_error *err)
{
	struct scenario s;
	enum prl_code rc = scenario_read(path, &s, err);
	FILE *series = NULL;

	if (rc)
		return rc;
	if (arg.series->count) {
		series = fopen(arg.series->filename[0], "w");
		if (!series)
			return prl_error_set(err, PRL_E_IO,
					     "file \"%s\" cannot be written",
					     arg.series->filename[0]);
	}
	report_print_header(stdout);
	for (int i = 0; !rc && i < nrules; i++)
		if (is_rule_selected(rules[i].name))
			rc = play(&s, &rules[i], series, err);
	if (series)
		fclose(series);
	return rc;
}

int main(int argc, char **argv)
{
	struct prl_error err = {0};
	void **table = make_arguments();
	int nerror = arg_parse(argc, argv, table);
	enum prl_code rc = PRL_OK;

	if (arg.help->count || nerror ||
	    arg.scenario->count == arg.record->count) {
		arg_print_errors(stderr, arg.end, argv[0]);
		arg_print_syntax(stderr, table, "\n");
		arg_print_glossary(stderr, table, "  %-22s %s\n");
		return arg.help->count ? 0 : 2;
	}
	if (arg.record->count)
		rc = trace_record(arg.record->filename[0],
				  string_option(arg.service),
				  string_option(arg.regions), &err);
	else
		rc = play_all(arg.scenario->filename[0], &err);
	if (rc)
		fprintf(stderr, "%s: %s\n", argv[0], err.text);
	arg_freetable(table, ARGUMENTS);
	return prl_code_exit_status(rc);
}
