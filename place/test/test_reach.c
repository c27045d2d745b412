#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/reach.h>

#define UPSTREAMS 5

static struct place_isolation isolation;
static struct place_reach reach;
static int64_t now_ms;

static int setup(void **state)
{
	(void)state;
	isolation = (struct place_isolation){0};
	reach = (struct place_reach){0};
	now_ms = 50000;
	return 0;
}

static int fail_at(uint64_t upstream)
{
	now_ms += 10;
	return place_isolation_unanswered(&isolation, upstream, UPSTREAMS,
					  now_ms);
}

static void probe(uint64_t upstream, int answered)
{
	struct place_probe p = {.upstream = upstream,
				.answered = answered,
				.nupstream = UPSTREAMS};

	now_ms += 10;
	place_reach_probe_ended(&reach, &p, now_ms);
}

static void test_isolated_after_few_failures(void **state)
{
	(void)state;
	assert_int_equal(fail_at(1), 0);
	assert_int_equal(fail_at(2), 0);
	assert_int_equal(fail_at(1), 1);
}

/* An answer of any upstream between two failures says that the VM is not cut
 * off. */
static void test_isolated_though_an_upstream_answers(void **state)
{
	(void)state;
	for (int i = 0; i < 100; i++) {
		now_ms += 600;
		assert_int_equal(fail_at(1), 0);
		assert_int_equal(fail_at(2), 0);
		place_isolation_answered(&isolation, now_ms);
	}
}

/* Some upstreams crash: several attempts fail at the same moment, while others
 * are still answered now and then. */
static void test_isolated_by_a_burst_of_failures(void **state)
{
	(void)state;
	place_isolation_answered(&isolation, now_ms);
	for (uint64_t i = 0; i < 20; i++)
		assert_int_equal(fail_at(i), 0);
	now_ms += 500;
	assert_int_equal(fail_at(1), 1);
}

static void test_isolated_by_one_upstream_that_fails(void **state)
{
	(void)state;
	for (int i = 0; i < 100; i++)
		assert_int_equal(fail_at(7), 0);
	assert_int_equal(fail_at(8), 1);
}

static void test_only_upstream_counts(void **state)
{
	(void)state;
	for (int i = 0; i < 2; i++)
		assert_int_equal(
			place_isolation_unanswered(&isolation, 1, 1, now_ms),
			0);
	assert_int_equal(place_isolation_unanswered(&isolation, 1, 1, now_ms),
			 1);
}

/* Kept connections answer and new ones fail: impaired, not isolated. */
static void test_impaired_by_a_share_of_failures(void **state)
{
	(void)state;
	for (uint64_t i = 0; i < 30; i++) {
		place_isolation_answered(&isolation, now_ms);
		fail_at(i);
	}
	assert_int_equal(place_isolation_is_impaired(&isolation, now_ms), 1);
	assert_int_equal(place_isolation_is_impaired(&isolation, now_ms + 5000),
			 0);
	for (int i = 0; i < 30; i++)
		place_isolation_answered(&isolation, now_ms);
	assert_int_equal(place_isolation_is_impaired(&isolation, now_ms), 0);
}

/* Isolation ends by two answered probes in a row, of different upstreams. */
static void test_isolation_ends_too_early(void **state)
{
	(void)state;
	place_reach_isolate(&reach, now_ms);
	for (int i = 0; i < 20; i++) {
		probe(1, 1);
		probe(1, 1);
		probe(2, 0);
	}
	assert_int_equal(reach.state, PLACE_ISOLATED);
	probe(1, 1);
	probe(2, 1);
	assert_int_equal(reach.state, PLACE_REACHED);
}

static void test_suspected_service(void **state)
{
	(void)state;
	place_reach_suspect(&reach, now_ms);
	probe(1, 1);
	assert_int_equal(reach.state, PLACE_REACHED);
	place_reach_suspect(&reach, now_ms);
	probe(1, 0);
	assert_int_equal(reach.state, PLACE_SUSPECTED);
	probe(2, 0);
	assert_int_equal(reach.state, PLACE_ISOLATED);
	/* An isolated service stays so when another one is found to be. */
	place_reach_suspect(&reach, now_ms);
	assert_int_equal(reach.state, PLACE_ISOLATED);
}

/* 83 VMs that are cut off must not probe at the same moments. */
static void test_probes_are_spread(void **state)
{
	int64_t first;

	(void)state;
	place_reach_isolate(&reach, now_ms);
	assert_int_equal(place_reach_probe_due(&reach, 1, now_ms), 1);
	assert_int_equal(place_reach_probe_due(&reach, 1, now_ms), 0);
	first = reach.next_probe_ms;
	reach.next_probe_ms = now_ms;
	assert_int_equal(place_reach_probe_due(&reach, 300, now_ms), 1);
	assert_int_not_equal(reach.next_probe_ms, first);
	assert_in_range(reach.next_probe_ms - now_ms, 250, 750);
}

static void test_short_isolation_is_announced(void **state)
{
	(void)state;
	place_reach_isolate(&reach, now_ms);
	assert_int_equal(place_reach_is_announced(&reach, now_ms + 100), 0);
	assert_int_equal(place_reach_is_announced(&reach, now_ms + 300), 1);
	probe(1, 1);
	probe(2, 1);
	assert_int_equal(place_reach_is_announced(&reach, now_ms + 1000), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_isolated_after_few_failures, setup),
		cmocka_unit_test_setup(test_isolated_though_an_upstream_answers,
				       setup),
		cmocka_unit_test_setup(test_isolated_by_a_burst_of_failures,
				       setup),
		cmocka_unit_test_setup(test_isolated_by_one_upstream_that_fails,
				       setup),
		cmocka_unit_test_setup(test_only_upstream_counts, setup),
		cmocka_unit_test_setup(test_impaired_by_a_share_of_failures,
				       setup),
		cmocka_unit_test_setup(test_isolation_ends_too_early, setup),
		cmocka_unit_test_setup(test_suspected_service, setup),
		cmocka_unit_test_setup(test_probes_are_spread, setup),
		cmocka_unit_test_setup(test_short_isolation_is_announced,
				       setup),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
