#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/place.h>
#include <string.h>

#define REGIONS 2
#define PER_REGION 3
#define UPSTREAMS (REGIONS * PER_REGION)
#define SLOTS 4

static struct steer_upstream upstream[UPSTREAMS];
static struct steer_service service;
static struct place_upstream_stats stats[UPSTREAMS];
static struct place_service_state service_state;
static int own_outstanding[UPSTREAMS];
static int64_t now_ms;

static int outstanding(const void *ctx, int stats_index)
{
	return ((const int *)ctx)[stats_index];
}

static int setup(void **unused)
{
	(void)unused;
	memset(upstream, 0, sizeof(upstream));
	memset(&service, 0, sizeof(service));
	memset(stats, 0, sizeof(stats));
	memset(&service_state, 0, sizeof(service_state));
	memset(own_outstanding, 0, sizeof(own_outstanding));
	now_ms = 100000;
	service.upstream = upstream;
	service.nupstream = UPSTREAMS;
	for (int r = 0; r < REGIONS; r++) {
		service.region[r].first_upstream = r * PER_REGION;
		service.region[r].nupstream = PER_REGION;
	}
	for (int i = 0; i < UPSTREAMS; i++) {
		upstream[i].id = prl_hash_combine(5, (uint64_t)i);
		upstream[i].region = i / PER_REGION;
		upstream[i].state = STEER_ACTIVE;
		upstream[i].slots = SLOTS;
		upstream[i].stats_index = i;
	}
	return 0;
}

static struct place_request make_request(uint64_t object)
{
	return (struct place_request){
		.service = &service,
		.nregion = REGIONS,
		.own_region = 0,
		.region_mask = UINT32_MAX,
		.stats = stats,
		.state = &service_state,
		.outstanding = outstanding,
		.ctx = own_outstanding,
		.vm_threads = 1,
		.fleet_threads = 1,
		.move_max_permille = 150,
		.object_hash = prl_hash_combine(object, 11),
		.sticky = 1,
		.priority = 2,
		.latency_objective_ms = 400,
		.deadline_ms = now_ms + 2000,
		.now_ms = now_ms,
		.now_us = now_ms * 1000,
		.params = &place_default_params,
	};
}

static int choose_for_object(uint64_t object, struct place_decision *out)
{
	struct place_request req = make_request(object);

	return place_choose(&req, out);
}

static void set_outstanding(int region, int requests)
{
	for (int i = 0; i < PER_REGION; i++)
		own_outstanding[region * PER_REGION + i] = requests;
}

/* While the own region has room, no request leaves it or queues. */
static void test_calm_stays_in_the_own_region(void **unused)
{
	struct place_decision decision;

	(void)unused;
	for (uint64_t o = 0; o < 100; o++) {
		assert_int_equal(choose_for_object(o, &decision), 1);
		assert_int_equal(decision.region, 0);
		assert_in_range(decision.upstream, 0, PER_REGION - 1);
		assert_int_equal(decision.wait_ms, 0);
		assert_int_equal(decision.inflight_milli, 1000);
	}
}

/* When the own region fills up, only the overflow budget goes to another region
 * at once; the other requests are refused with the shortest wait. */
static void test_full_region_overflows_slowly(void **unused)
{
	struct place_decision decision;
	int moved = 0;

	(void)unused;
	assert_int_equal(choose_for_object(1, &decision), 1);
	set_outstanding(0, 20 * SLOTS);
	for (uint64_t o = 0; o < 100; o++) {
		if (choose_for_object(o, &decision)) {
			assert_int_equal(decision.region, 1);
			moved++;
			continue;
		}
		assert_in_range(decision.wait_ms, 400, 200 * 20);
	}
	assert_in_range(moved, 2, 100 * 40 / 1000 + 2);
}

/* The shares follow the load at their limited rate. */
static void test_shares_follow_the_load(void **unused)
{
	struct place_decision decision;
	int moved = 0;

	(void)unused;
	assert_int_equal(choose_for_object(1, &decision), 1);
	set_outstanding(0, 20 * SLOTS);
	for (int i = 0; i < 1000; i++) {
		now_ms += 10;
		moved += choose_for_object((uint64_t)i, &decision) &&
			 decision.region == 1;
	}
	/* At most 3.2 percent a second: 16 percent on average over ten
	 * seconds, and 4 percent of overflow. */
	assert_in_range(moved, 150, 300);
}

/* Remote requests stay close to their share although the own region refuses
 * most of its part, and are not limited while it serves nothing. */
static void test_moves_are_held_near_the_shares(void **unused)
{
	struct place_move_window m = {0};
	int remote = 0;
	int local = 0;

	(void)unused;
	for (int64_t now = 1000; now < 11000; now += 10) {
		/* One request in ten finds room in the own region, each one
		 * in another region. */
		if (now % 100 == 0) {
			place_move_window_count(&m, 0, now);
			local++;
		} else if (place_move_window_allows(&m, 200, now)) {
			place_move_window_count(&m, 1, now);
			remote++;
		}
	}
	assert_in_range(remote * 1000 / (remote + local), 150, 350);
	for (int64_t now = 13100; now < 15000; now += 10) {
		assert_true(place_move_window_allows(&m, 200, now));
		place_move_window_count(&m, 1, now);
	}
}

/* Under overload the own region refuses most requests. The other region must
 * still get only its share of those that are placed, not all that were refused.
 */
static void test_flood_is_not_moved(void **unused)
{
	struct place_request req;
	struct place_decision decision;
	int remote = 0;
	int local = 0;

	(void)unused;
	service_state.shares =
		(struct place_shares){.share_ppm = {800000, 200000},
				      .initialized = 1,
				      .updated_ms = now_ms};
	for (int i = 0; i < 4000; i++) {
		now_ms += i % 4 == 0;
		/* The own region takes one request in eight. */
		set_outstanding(0, i % 8 ? 20 * SLOTS : 0);
		req = make_request((uint64_t)i);
		if (!place_choose(&req, &decision))
			continue;
		remote += decision.region != 0;
		local += decision.region == 0;
	}
	assert_true(local > 100);
	/* A fifth is the share; more is allowed for the permitted excess and
	 * for the change of the shares in one second. */
	assert_in_range(remote * 1000 / (remote + local), 100, 290);
}

/* Only regions in the mask are chosen, even if they are full and others are
 * not. */
static void test_region_mask_is_kept(void **unused)
{
	struct place_request req;
	struct place_decision decision;

	(void)unused;
	set_outstanding(0, 20 * SLOTS);
	for (uint64_t o = 0; o < 50; o++) {
		req = make_request(o);
		req.region_mask = 1u << 0;
		assert_int_equal(place_choose(&req, &decision), 0);
		req.region_mask = 1u << 1;
		assert_int_equal(place_choose(&req, &decision), 1);
		assert_int_equal(decision.region, 1);
	}
}

/* Requests of the most urgent priority are shed only at a longer wait. */
static void test_urgent_ones_wait_longer(void **unused)
{
	struct place_request req;
	struct place_decision decision;

	(void)unused;
	/* A wait of 250 ms at 200 ms a request: 45 percent of 400 ms are 180,
	 * 90 percent are 360. */
	set_outstanding(0, 2 * SLOTS);
	set_outstanding(1, 2 * SLOTS);
	req = make_request(1);
	assert_int_equal(place_choose(&req, &decision), 0);
	req.priority = 1;
	assert_int_equal(place_choose(&req, &decision), 1);
	assert_int_equal(decision.wait_ms, 250);
}

/* A retry never goes to an upstream that the request was tried at. */
static void test_tried_ones_are_left_out(void **unused)
{
	uint64_t tried[PER_REGION];
	struct place_request req = make_request(3);
	struct place_decision decision;

	(void)unused;
	req.tried_ids = tried;
	req.region_mask = 1;
	for (int i = 0; i < PER_REGION; i++) {
		assert_int_equal(place_choose(&req, &decision), 1);
		for (int k = 0; k < i; k++)
			assert_true(tried[k] != upstream[decision.upstream].id);
		tried[req.ntried++] = upstream[decision.upstream].id;
	}
	assert_int_equal(place_choose(&req, &decision), 0);
}

/* Places a request for the first region in each of the next "n" milliseconds.
 * Returns how many got an upstream. */
static int place_for_ms(int n, int vm_threads)
{
	struct place_request req;
	struct place_decision decision;
	int placed = 0;

	for (int i = 0; i < n; i++) {
		now_ms++;
		req = make_request((uint64_t)i);
		req.vm_threads = vm_threads;
		req.region_mask = 1;
		placed += place_choose(&req, &decision);
	}
	return placed;
}

/* A cold upstream gets requests at this VM's part of its rate, divided by its
 * threads, a paused one none. */
static void test_cold_ones_are_paced(void **unused)
{
	(void)unused;
	for (int i = 0; i < PER_REGION; i++) {
		upstream[i].cold_until_ms = now_ms + 10000;
		upstream[i].cold_rate_milli = i ? 0 : 10000;
	}
	assert_int_equal(place_for_ms(1000, 2), 5);
	upstream[0].paused_until_ms = now_ms + 2000;
	assert_int_equal(place_for_ms(1000, 2), 0);
}

/* A paused upstream gets nothing, also while all of its region are ejected: it
 * may be cold. */
static void test_paused_one_rests_while_all_are_ejected(void **unused)
{
	struct place_request req;
	struct place_decision decision;

	(void)unused;
	for (int i = 0; i < PER_REGION; i++)
		stats[i].ejected_until_ms = now_ms + 5000;
	for (int i = 1; i < PER_REGION; i++)
		upstream[i].paused_until_ms = now_ms + 2000;
	for (int i = 0; i < 200; i++) {
		now_ms++;
		req = make_request((uint64_t)i);
		req.region_mask = 1;
		if (place_choose(&req, &decision))
			assert_int_equal(decision.upstream, 0);
	}
}

/* An upstream that wants no requests for a while gets none, also while all of
 * its region are ejected. */
static void test_closed_one_is_left_alone(void **unused)
{
	(void)unused;
	for (int i = 0; i < PER_REGION; i++)
		upstream[i].closed_until_ms = now_ms + 2000;
	assert_int_equal(place_for_ms(200, 1), 0);
	for (int i = 0; i < PER_REGION; i++)
		stats[i].ejected_until_ms = now_ms + 1000;
	assert_int_equal(place_for_ms(200, 1), 0);
	now_ms += 2000;
	assert_int_equal(place_for_ms(1, 1), 1);
}

/* A refused caller is to come back when the first upstream opens again. */
static void test_refusal_says_when_one_opens(void **unused)
{
	struct place_request req = make_request(1);
	struct place_decision decision;

	(void)unused;
	for (int i = 0; i < UPSTREAMS; i++)
		upstream[i].closed_until_ms = now_ms + 3000;
	upstream[1].closed_until_ms = 0;
	upstream[1].paused_until_ms = now_ms + 700;
	assert_int_equal(place_choose(&req, &decision), 0);
	assert_int_equal(decision.wait_ms, 700);
	for (int i = 0; i < UPSTREAMS; i++)
		upstream[i].state = STEER_LEAVING;
	assert_int_equal(place_choose(&req, &decision), 0);
	assert_true(decision.wait_ms == PRL_NEVER);
}

/* Upstreams that name a rate limit get requests at this VM's part of it,
 * divided by its threads, also while all of them are ejected. */
static void test_limited_ones_are_paced(void **unused)
{
	(void)unused;
	for (int i = 0; i < PER_REGION; i++) {
		upstream[i].limited_until_ms = now_ms + 10000;
		upstream[i].limit_part_milli = i ? 0 : 8000;
	}
	assert_int_equal(place_for_ms(1000, 2), 4);
	upstream[0].limit_resumes_ms = now_ms + 1000;
	assert_int_equal(place_for_ms(900, 1), 0);
	for (int i = 0; i < PER_REGION; i++)
		stats[i].ejected_until_ms = now_ms + 5000;
	assert_int_equal(place_for_ms(1000, 1), 0);
	now_ms += 8000;
	assert_int_equal(place_for_ms(1, 1), 1);
}

/* Each of 4 threads opens at most a quarter of the 8 connections that an
 * upstream accepts. */
static void test_connections_are_divided(void **unused)
{
	struct place_request req = make_request(1);
	struct place_decision decision;

	(void)unused;
	for (int i = 0; i < UPSTREAMS; i++)
		upstream[i].connections_max = 8;
	req.fleet_threads = 4;
	set_outstanding(0, 1);
	set_outstanding(1, 2);
	assert_int_equal(place_choose(&req, &decision), 1);
	assert_int_equal(decision.region, 0);
	set_outstanding(0, 2);
	assert_int_equal(place_choose(&req, &decision), 0);
}

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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_calm_stays_in_the_own_region,
				       setup),
		cmocka_unit_test_setup(test_full_region_overflows_slowly,
				       setup),
		cmocka_unit_test_setup(test_shares_follow_the_load, setup),
		cmocka_unit_test_setup(test_moves_are_held_near_the_shares,
				       setup),
		cmocka_unit_test_setup(test_flood_is_not_moved, setup),
		cmocka_unit_test_setup(test_region_mask_is_kept, setup),
		cmocka_unit_test_setup(test_urgent_ones_wait_longer, setup),
		cmocka_unit_test_setup(test_tried_ones_are_left_out, setup),
		cmocka_unit_test_setup(test_cold_ones_are_paced, setup),
		cmocka_unit_test_setup(
			test_paused_one_rests_while_all_are_ejected, setup),
		cmocka_unit_test_setup(test_closed_one_is_left_alone, setup),
		cmocka_unit_test_setup(test_refusal_says_when_one_opens, setup),
		cmocka_unit_test_setup(test_limited_ones_are_paced, setup),
		cmocka_unit_test_setup(test_connections_are_divided, setup),
		cmocka_unit_test_setup(test_unreachable_one_is_left_alone,
				       setup),
		cmocka_unit_test_setup(test_all_unreachable_are_tried, setup),
		cmocka_unit_test_setup(test_refusal_without_a_report, setup),
		cmocka_unit_test_setup(test_failures_are_forgotten, setup),
		cmocka_unit_test_setup(test_slow_one_is_avoided, setup),
		cmocka_unit_test_setup(test_reports_age, setup),
		cmocka_unit_test_setup(test_retry_after_is_spread, setup),
		cmocka_unit_test_setup(test_kinds_of_requests_are_told_apart,
				       setup),
		cmocka_unit_test_setup(test_slow_kind_is_measured_again, setup),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
