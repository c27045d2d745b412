#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "choose_fixture.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <primroselead/hash.h>

static void record_attempt(int i, enum place_result result, int64_t us,
			   int reported)
{
	struct place_attempt attempt = {.result = result,
					.duration_us = us,
					.reported_load = reported,
					.region = 0};

	place_record_attempt(&stats[i], &service_state, &attempt, now_ms);
}

static int count_chosen(int rounds, int which)
{
	struct place_decision decision;
	int n = 0;

	for (int i = 0; i < rounds; i++) {
		struct place_request req = make_request((uint64_t)i);

		req.region_mask = 1;
		if (place_choose(&req, &decision))
			n += decision.upstream == which;
	}
	return n;
}

/* The ejection time doubles with each consecutive failure to connect. */
static void test_unreachable_one_is_left_alone(void **unused)
{
	(void)unused;
	assert_true(count_chosen(100, 0) > 10);
	record_attempt(0, PLACE_UNREACHED, 0, 0);
	assert_int_equal(count_chosen(100, 0), 0);
	now_ms += 201;
	assert_true(count_chosen(100, 0) > 0);
	record_attempt(0, PLACE_UNREACHED, 0, 0);
	now_ms += 201;
	assert_int_equal(count_chosen(100, 0), 0);
	record_attempt(0, PLACE_ANSWERED, 1000, 1);
	record_attempt(0, PLACE_UNREACHED, 0, 0);
	now_ms += 201;
	assert_true(count_chosen(100, 0) > 0);
}

/* Ejections are ignored if all upstreams are ejected: the fault may be on this
 * side. */
static void test_all_unreachable_are_tried(void **unused)
{
	struct place_decision decision;

	(void)unused;
	for (int i = 0; i < UPSTREAMS; i++)
		record_attempt(i, PLACE_UNREACHED, 0, 0);
	assert_int_equal(choose_for_object(1, &decision), 1);
}

/* An upstream that refuses without a load report is ejected for a moment; with
 * a report the load decides. */
static void test_refusal_without_a_report(void **unused)
{
	(void)unused;
	record_attempt(0, PLACE_REFUSED, 0, 1);
	assert_true(count_chosen(100, 0) > 10);
	record_attempt(0, PLACE_REFUSED, 0, 0);
	assert_int_equal(count_chosen(100, 0), 0);
	now_ms += 101;
	assert_true(count_chosen(100, 0) > 0);
}

/* A failing upstream is avoided until its failures expire. */
static void test_failures_are_forgotten(void **unused)
{
	int before;

	(void)unused;
	before = count_chosen(100, 0);
	for (int i = 0; i < 30; i++)
		record_attempt(0, PLACE_FAILED, 0, 1);
	assert_true(count_chosen(100, 0) * 4 < before);
	now_ms += 4001;
	assert_int_equal(count_chosen(100, 0), before);
}

/* A slow upstream is avoided until its latency samples expire. */
static void test_slow_one_is_avoided(void **unused)
{
	int before;

	(void)unused;
	before = count_chosen(100, 0);
	for (int i = 0; i < 50; i++)
		for (int k = 0; k < PER_REGION; k++)
			record_attempt(k, PLACE_ANSWERED, k ? 100000 : 900000,
				       1);
	assert_true(count_chosen(100, 0) * 4 < before);
	now_ms += 4001;
	assert_int_equal(count_chosen(100, 0), before);
}

/* A load report decays with its age and does not count the own requests. */
static void test_reports_age(void **unused)
{
	struct place_upstream_stats u = {0};

	(void)unused;
	place_record_load(&u, 3, 5, 2, 1000);
	assert_int_equal(place_inflight(&u, 2, 1000), 8000);
	assert_int_equal(place_inflight(&u, 1, 2500), 4000);
	assert_int_equal(place_inflight(&u, 1, 4000), 1000);
	place_record_load(&u, 1, 0, 4, 5000);
	assert_int_equal(place_inflight(&u, 0, 5000), 0);
}

/* Callers are told to come back no sooner than the expected wait, spread at
 * random. */
static void test_retry_after_is_spread(void **unused)
{
	int64_t first = place_retry_after(300, 1);
	int different = 0;

	(void)unused;
	for (uint64_t i = 0; i < 100; i++) {
		int64_t ms = place_retry_after(300, prl_hash_combine(i, 1));

		assert_in_range(ms, 300, 599);
		different += ms != first;
		assert_in_range(place_retry_after(0, i), 100, 199);
		assert_in_range(place_retry_after(PRL_NEVER, i), 500, 999);
	}
	assert_true(different > 90);
}

/* Records answers in the own region, as of requests that did not queue. */
static void record_answers(int sticky, int64_t us)
{
	struct place_attempt attempt = {
		.result = PLACE_ANSWERED, .sticky = sticky, .duration_us = us};

	for (int i = 0; i < PER_REGION; i++)
		place_record_attempt(&stats[i], &service_state, &attempt,
				     now_ms);
}

/* An urgent request without an object, which has one second. */
static struct place_request make_plain_request(void)
{
	struct place_request req = make_request(0);

	req.sticky = 0;
	req.priority = 0;
	req.region_mask = 1;
	req.latency_objective_ms = 1000;
	req.deadline_ms = now_ms + 1000;
	return req;
}

/* Requests with objects that take 2 s do not make a short one hopeless. */
static void test_kinds_of_requests_are_told_apart(void **unused)
{
	struct place_request req;
	struct place_decision decision;

	(void)unused;
	record_answers(1, 2000000);
	record_answers(0, 100000);
	set_outstanding(0, 0);
	req = make_plain_request();
	assert_int_equal(place_choose(&req, &decision), 1);
	assert_int_equal(decision.wait_ms, 0);
	/* A request that needs 2 s is not begun one second before its deadline.
	 */
	req = make_request(1);
	req.region_mask = 1;
	req.deadline_ms = now_ms + 1000;
	assert_int_equal(place_choose(&req, &decision), 0);
}

/* A kind that is refused because it was slow is tried again. */
static void test_slow_kind_is_measured_again(void **unused)
{
	struct place_request req;
	struct place_decision decision;

	(void)unused;
	record_answers(0, 1500000);
	req = make_plain_request();
	assert_int_equal(place_choose(&req, &decision), 0);
	now_ms += 5000;
	req = make_plain_request();
	assert_int_equal(place_choose(&req, &decision), 1);
}

/* A report of a slow VM counts at once, and the less the older it is. */
static void test_reported_slowness_ages(void **unused)
{
	struct place_upstream_stats u = {0};
	struct place_estimate e;

	(void)unused;
	place_estimate_fill(&u, 0, 100000, 5000, &e);
	assert_int_equal(e.slowness_permille, 1000);
	place_record_slowness(&u, 300, 5000);
	place_estimate_fill(&u, 0, 100000, 5000, &e);
	assert_int_equal(e.slowness_permille, 3000);
	place_estimate_fill(&u, 0, 100000, 5300, &e);
	assert_int_equal(e.slowness_permille, 2000);
	place_estimate_fill(&u, 0, 100000, 5600, &e);
	assert_int_equal(e.slowness_permille, 1000);
}

/* The VMs of another region know its load: the shares follow what they tell,
 * until that is old. */
static void test_told_load_of_a_region(void **unused)
{
	struct place_decision decision;
	struct place_request req = make_request(1);

	(void)unused;
	service_state.told[1].inflight_milli =
		(int64_t)PER_REGION * SLOTS * 1000;
	service_state.told[1].told_ms = now_ms;
	set_outstanding(0, SLOTS);
	place_choose(&req, &decision);
	assert_int_equal(service_state.shares.share_ppm[1], 0);
	now_ms += 1500;
	req = make_request(1);
	place_choose(&req, &decision);
	assert_true(service_state.shares.share_ppm[1] > 0);
}

static void test_slow_report_moves_requests(void **unused)
{
	int before;

	(void)unused;
	before = count_chosen(100, 0);
	place_record_slowness(&stats[0], 500, now_ms);
	assert_true(count_chosen(100, 0) * 4 < before);
	now_ms += 1000;
	assert_int_equal(count_chosen(100, 0), before);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_unreachable_one_is_left_alone,
				       setup),
		cmocka_unit_test_setup(test_all_unreachable_are_tried, setup),
		cmocka_unit_test_setup(test_refusal_without_a_report, setup),
		cmocka_unit_test_setup(test_failures_are_forgotten, setup),
		cmocka_unit_test_setup(test_slow_one_is_avoided, setup),
		cmocka_unit_test_setup(test_reports_age, setup),
		cmocka_unit_test_setup(test_reported_slowness_ages, setup),
		cmocka_unit_test_setup(test_slow_report_moves_requests, setup),
		cmocka_unit_test_setup(test_told_load_of_a_region, setup),
		cmocka_unit_test_setup(test_retry_after_is_spread, setup),
		cmocka_unit_test_setup(test_kinds_of_requests_are_told_apart,
				       setup),
		cmocka_unit_test_setup(test_slow_kind_is_measured_again, setup),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
