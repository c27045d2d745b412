#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "report.h"
#include <cmocka.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SEED 7

/* Second by which the effects of the burst in burst.ini have ended. */
#define RECOVERED_S 27

/* Share of a region's requests that may change the region in which they run
 * from one window of 2 s to the next, in permille; required by the users. */
#define SHIFT_MAX_PERMILLE 150

/* A looser idle_max_permille than the default: part of an upstream's slots in
 * use up to which it takes requests for objects of other homes, in permille. */
#define LOOSE_IDLE_MAX_PERMILLE 500

static struct report play(const struct scenario *s, const char *rule,
			  const struct place_params *params)
{
	GArray *trace = trace_generate(s, SEED);
	struct report r;
	struct world w;
	int i = 0;

	while (strcmp(rules[i].name, rule) != 0)
		i++;
	world_play(&w, s, trace, &rules[i], params, SEED);
	assert_int_equal(w.stats.sent,
			 w.stats.ran + w.stats.refused + w.stats.not_run);
	report_fill(&w, &r);
	world_finish(&w);
	g_array_unref(trace);
	return r;
}

static struct scenario read_scenario(const char *name)
{
	struct prl_error err = {0};
	struct scenario s;
	char path[96];

	snprintf(path, sizeof(path), "replay/scenarios/%s.ini", name);
	if (scenario_read(path, &s, &err))
		fail_msg("%s", err.text);
	return s;
}

static struct report play_named(const char *name, const char *rule)
{
	struct scenario s = read_scenario(name);

	return play(&s, rule, &place_default_params);
}

/* Reports can be compared only if a replay depends on nothing but the scenario,
 * the rule, the parameters and the seed. */
static void test_same_seed_same_play(void **state)
{
	struct report a = play_named("slow", "place");
	struct report b = play_named("slow", "place");

	(void)state;
	assert_memory_equal(&a, &b, sizeof(a));
}

/* A scenario with one kind of request, a fixed service time and a steady mean
 * rate. */
static struct scenario read_steady(const char *name, double rate)
{
	struct scenario s = read_scenario(name);

	s.rate_per_s = rate;
	s.rate_swing_permille = 0;
	s.nkind = 1;
	s.kind[0].service_time_spread_permille = 0;
	return s;
}

/* Far below capacity a request takes its service time and four link delays, and
 * is served at the first attempt. */
static void test_idle_time_is_exact(void **state)
{
	struct scenario s = read_steady("wave", 2);
	struct report r;

	(void)state;
	s.kind[0].nobject = 0;
	r = play(&s, "place", &place_default_params);
	assert_int_equal(r.p50_ms,
			 (s.kind[0].service_time_us + 4 * s.local_link_us) /
				 1000);
	assert_int_equal(r.p99_ms, r.p50_ms);
	assert_int_equal(r.served_permille, 1000);
	assert_int_equal(r.sent_permille, 1000);
	assert_int_equal(r.cache_hit_permille, 0);
	assert_int_equal(r.region_change_permille, 0);
}

/* With all objects cached the service time falls by the gain. */
static void test_objects_at_hand_are_faster(void **state)
{
	struct scenario s = read_steady("wave", 20);
	struct report r;

	(void)state;
	s.kind[0].nobject = 3;
	r = play(&s, "place", &place_default_params);
	assert_int_equal(r.p50_ms,
			 (s.kind[0].service_time_us *
				  (1000 - s.cache_gain_permille) / 1000 +
			  4 * s.local_link_us) /
				 1000);
	assert_true(r.cache_hit_permille > 980);
}

/* No rule serves more than the slots can run: one slot and a service time of
 * 100 ms give at most 10 requests a second, of 100 that arrive. */
static void test_no_more_than_the_slots(void **state)
{
	struct scenario s = read_steady("single", 100);
	struct report r;

	(void)state;
	s.upstreams_per_region = 1;
	s.speed_spread_permille = 0;
	s.kind[0].service_time_us = 100000;
	s.kind[0].objective_us = 400000;
	s.kind[0].deadline_us = 400000;
	for (int i = 0; i < nrules; i++) {
		r = play(&s, rules[i].name, &place_default_params);
		assert_in_range(r.served_permille, 50, 105);
	}
}

/* Under overload it earns more to refuse a request whose home upstreams are
 * busy than to run it where its object is not cached, which takes the time of
 * three requests for cached objects. A loose idle_max runs such requests. */
static void test_overload(void **state)
{
	struct scenario s = read_scenario("overload");
	struct place_params loose_params = place_default_params;
	struct report loose;
	struct report usual;

	(void)state;
	loose_params.idle_max_permille = LOOSE_IDLE_MAX_PERMILLE;
	loose = play(&s, "place", &loose_params);
	usual = play(&s, "place", &place_default_params);
	assert_true(usual.earned_permille * 100 >= loose.earned_permille * 120);
	assert_true(usual.worst_region_permille * 100 >=
		    loose.worst_region_permille * 115);
}

/* In every scenario the rule "place" earns at least as much as the best of the
 * other rules, less 10 permille. */
static void test_place_against_others(void **state)
{
	static const char *const scenarios[] = {
		"abuse",     "burst",  "failing", "gone", "long",     "lying",
		"scattered", "single", "slow",	  "wave", "overload",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		struct report own = play_named(scenarios[i], "place");

		for (int k = 1; k < nrules; k++) {
			struct report other =
				play_named(scenarios[i], rules[k].name);

			if (own.earned_permille + 10 < other.earned_permille)
				fail_msg(
					"scenario \"%s\": rule \"place\" earns "
					"%d permille, rule \"%s\" earns %d",
					scenarios[i], own.earned_permille,
					rules[k].name, other.earned_permille);
		}
	}
}

static int moved(const struct scenario *s)
{
	return play(s, "place", &place_default_params).region_change_permille;
}

/* The bound on changes of the serving region holds in every window, also while
 * an overload makes the VMs refuse most requests. */
static void test_moves_keep_the_pace(void **state)
{
	static const int factors[] = {2000, 4000, 6000, 10000};
	struct scenario s = read_scenario("overload");

	(void)state;
	assert_true(moved(&s) <= SHIFT_MAX_PERMILLE);
	s = read_scenario("wave");
	assert_true(moved(&s) <= SHIFT_MAX_PERMILLE);
	s = read_scenario("burst");
	for (size_t i = 0; i < G_N_ELEMENTS(factors); i++) {
		s.fault[0].factor = factors[i];
		s.fault[0].region = -1;
		assert_true(moved(&s) <= SHIFT_MAX_PERMILLE);
		s.fault[0].region = 0;
		assert_true(moved(&s) <= SHIFT_MAX_PERMILLE);
	}
}

/* From 5 s after a burst of 6 times the usual rate, which ends at 22 s,
 * requests earn at least 95 % of their worth again. */
static void test_burst_leaves_nothing_behind(void **state)
{
	struct scenario s = read_scenario("burst");
	GArray *trace = trace_generate(&s, SEED);
	struct world w;
	int64_t offered = 0;
	int64_t earned = 0;

	(void)state;
	s.fault[0].factor = 6000;
	g_array_unref(trace);
	trace = trace_generate(&s, SEED);
	world_play(&w, &s, trace, &rules[0], &place_default_params, SEED);
	for (guint i = RECOVERED_S; i < w.stats.offered_worth_by_second->len;
	     i++) {
		offered += g_array_index(w.stats.offered_worth_by_second,
					 int64_t, i);
		earned += g_array_index(w.stats.earned_worth_by_second, int64_t,
					i);
	}
	world_finish(&w);
	g_array_unref(trace);
	assert_true(earned * 100 >= offered * 95);
}

/* Creates a temporary file with a text and returns its path; remove_file
 * deletes the file and frees the path. */
static char *new_file(const char *text)
{
	char *path;
	int fd = g_file_open_tmp(NULL, &path, NULL);

	assert_true(fd >= 0);
	close(fd);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static void remove_file(char *path)
{
	unlink(path);
	g_free(path);
}

/* "speed" scales the times of a trace, comments are skipped, and a line that
 * names a region beyond those of the scenario is rejected by its number. */
static void test_trace_is_read(void **state)
{
	struct scenario s = read_scenario("wave");
	struct prl_error err = {0};
	GArray *trace;
	char *path;
	char *bad;

	(void)state;
	path = new_file("# kind 0: a\n0 0 0 1f\n1500 2 1 0\n");
	assert_int_equal(trace_read(path, &s, 500, &trace, &err), PRL_OK);
	assert_int_equal(trace->len, 2);
	assert_int_equal(g_array_index(trace, struct arrival, 0).object_hash,
			 0x1f);
	assert_int_equal(g_array_index(trace, struct arrival, 1).at_us,
			 3000000);
	assert_int_equal(g_array_index(trace, struct arrival, 1).region, 2);
	assert_int_equal(g_array_index(trace, struct arrival, 1).kind, 1);
	g_array_unref(trace);
	bad = new_file("0 0 0 1f\n1 3 0 1f\n");
	assert_int_equal(trace_read(bad, &s, 1000, &trace, &err), PRL_E_CONFIG);
	assert_non_null(strstr(err.text, "line 2"));
	remove_file(path);
	remove_file(bad);
}

/* Lines of other events, services and VMs are skipped. A line has the time at
 * which its request ended; the trace has the arrival. */
static void test_log_is_recorded(void **state)
{
	static const char log[] =
		"1.2 x-1 {\"time\":5300,\"vm\":\"x-1\",\"event\":\"request\","
		"\"service\":\"s\",\"ms\":\"300\",\"priority\":\"1\","
		"\"objective_ms\":\"400\",\"object\":\"00000000000000aa\"}\n"
		"{\"time\":5100,\"vm\":\"y-1\",\"event\":\"request\","
		"\"service\":\"s\",\"ms\":\"101\",\"priority\":\"2\","
		"\"objective_ms\":\"300\",\"object\":\"00000000000000bb\"}\n"
		"{\"time\":5100,\"vm\":\"y-1\",\"event\":\"request\","
		"\"service\":\"t\",\"ms\":\"0\",\"priority\":\"2\"}\n"
		"{\"time\":5100,\"vm\":\"z-1\",\"event\":\"request\","
		"\"service\":\"s\",\"ms\":\"0\",\"priority\":\"2\"}\n"
		"{\"time\":5100,\"vm\":\"y-1\",\"event\":\"start\"}\n"
		"no line\n";
	struct scenario s = read_scenario("wave");
	struct prl_error err = {0};
	GArray *trace;
	char *path;
	char *copy;
	int out;

	(void)state;
	path = new_file(log);
	copy = new_file("");
	fflush(stdout);
	out = dup(STDOUT_FILENO);
	assert_non_null(freopen(copy, "w", stdout));
	assert_int_equal(trace_record(path, "s", "x,y", &err), PRL_OK);
	fflush(stdout);
	dup2(out, STDOUT_FILENO);
	close(out);
	assert_int_equal(trace_read(copy, &s, 1000, &trace, &err), PRL_OK);
	assert_int_equal(trace->len, 2);
	assert_int_equal(g_array_index(trace, struct arrival, 0).object_hash,
			 0xbb);
	assert_int_equal(g_array_index(trace, struct arrival, 0).region, 1);
	assert_int_equal(g_array_index(trace, struct arrival, 0).kind, 1);
	assert_int_equal(g_array_index(trace, struct arrival, 1).at_us, 1000);
	assert_int_equal(g_array_index(trace, struct arrival, 1).kind, 0);
	g_array_unref(trace);
	remove_file(path);
	remove_file(copy);
}

/* The error for a value out of range names the key and its section; a missing
 * file is an I/O error, not one of configuration. */
static void test_scenario_errors_name_the_place(void **state)
{
	struct prl_error err = {0};
	struct scenario s;
	char *path;

	(void)state;
	path = new_file("[fleet]\nregions = 9\n");
	assert_int_equal(scenario_read(path, &s, &err), PRL_E_CONFIG);
	assert_string_equal(err.text, "\"regions\" of section \"fleet\" is not "
				      "between 1 and 8");
	unlink(path);
	assert_int_equal(scenario_read(path, &s, &err), PRL_E_IO);
	g_free(path);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_same_seed_same_play),
		cmocka_unit_test(test_idle_time_is_exact),
		cmocka_unit_test(test_objects_at_hand_are_faster),
		cmocka_unit_test(test_no_more_than_the_slots),
		cmocka_unit_test(test_overload),
		cmocka_unit_test(test_place_against_others),
		cmocka_unit_test(test_moves_keep_the_pace),
		cmocka_unit_test(test_burst_leaves_nothing_behind),
		cmocka_unit_test(test_trace_is_read),
		cmocka_unit_test(test_log_is_recorded),
		cmocka_unit_test(test_scenario_errors_name_the_place),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
