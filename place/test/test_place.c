#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/hash.h>
#include <primroselead/place.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define UPSTREAMS 14
#define SLOTS 6
#define OBJECTS 90

static struct steer_upstream upstream[UPSTREAMS];
static struct place_estimate estimate[UPSTREAMS];

static void reset_upstreams(void)
{
	memset(upstream, 0, sizeof(upstream));
	memset(estimate, 0, sizeof(estimate));
	for (int i = 0; i < UPSTREAMS; i++) {
		upstream[i].id = prl_hash_combine(7, (uint64_t)i);
		upstream[i].state = STEER_ACTIVE;
		upstream[i].slots = SLOTS;
		estimate[i].available = 1;
		estimate[i].slowness_permille = 1000;
	}
}

static struct place_candidates make_candidates(uint64_t object)
{
	return (struct place_candidates){
		.upstream = upstream,
		.estimate = estimate,
		.params = &place_default_params,
		.n = UPSTREAMS,
		.object_hash = prl_hash_combine(object, 1),
		.sticky = 1,
		.service_time_ms = 200,
		.wait_max_ms = 200,
		.time_left_ms = 2000,
	};
}

static struct place_region_decision place_object(uint64_t object)
{
	struct place_candidates p = make_candidates(object);
	struct place_region_decision out;

	place_choose_in_region(&p, &out);
	return out;
}

/* Position of an upstream in the order of an object, by counting the greater
 * hashes. */
static int reference_rank(uint64_t object, int i)
{
	uint64_t key = prl_hash_combine(object, 1);
	uint64_t own = prl_hash_combine(key, upstream[i].id);
	int rank = 0;

	for (int k = 0; k < UPSTREAMS; k++)
		rank += prl_hash_combine(key, upstream[k].id) > own;
	return rank;
}

static void test_idle_fleet_uses_the_home(void **state)
{
	(void)state;
	reset_upstreams();
	for (uint64_t o = 0; o < OBJECTS; o++) {
		struct place_region_decision p = place_object(o);

		assert_int_equal(reference_rank(o, p.upstream), 0);
		assert_int_equal(p.rank, 0);
	}
}

/* The loss of an upstream moves only the objects that it was home to. */
static void test_loss_moves_only_its_objects(void **state)
{
	int before[OBJECTS];
	int moved = 0;

	(void)state;
	reset_upstreams();
	for (uint64_t o = 0; o < OBJECTS; o++)
		before[o] = place_object(o).upstream;
	upstream[3].state = STEER_GONE;
	for (uint64_t o = 0; o < OBJECTS; o++) {
		int after = place_object(o).upstream;

		if (before[o] != 3)
			assert_int_equal(after, before[o]);
		moved += before[o] == 3;
		assert_int_not_equal(after, 3);
	}
	assert_true(moved > 0);
}

/* When the first home is full, its objects go to the second and no other. */
static void test_full_home_gives_to_the_second(void **state)
{
	(void)state;
	reset_upstreams();
	for (uint64_t o = 0; o < OBJECTS; o++) {
		int home = place_object(o).upstream;
		struct place_region_decision p;

		estimate[home].inflight_milli = 20 * SLOTS * 1000;
		p = place_object(o);
		assert_int_equal(reference_rank(o, p.upstream), 1);
		estimate[home].inflight_milli = 0;
	}
}

/* When both homes are full, an object goes to another upstream only while that
 * is idle: a cache miss would take capacity from the objects cached there. */
static void test_others_only_while_idle(void **state)
{
	(void)state;
	reset_upstreams();
	for (int i = 0; i < UPSTREAMS; i++)
		estimate[i].inflight_milli = SLOTS * 1000;
	for (uint64_t o = 0; o < OBJECTS; o++) {
		struct place_region_decision p;
		int first = place_object(o).upstream;
		int second;

		estimate[first].inflight_milli = 20 * SLOTS * 1000;
		second = place_object(o).upstream;
		estimate[second].inflight_milli = 20 * SLOTS * 1000;
		p = place_object(o);
		assert_int_equal(p.upstream, STEER_NONE);
		assert_true(p.wait_ms > 0);
		estimate[(first + 1) % UPSTREAMS == second
				 ? (first + 2) % UPSTREAMS
				 : (first + 1) % UPSTREAMS]
			.inflight_milli = 0;
		assert_int_not_equal(place_object(o).upstream, STEER_NONE);
		for (int i = 0; i < UPSTREAMS; i++)
			estimate[i].inflight_milli = SLOTS * 1000;
	}
}

/* An upstream without the object in its cache is not used if the deadline would
 * pass before it answers. */
static void test_miss_must_fit_the_deadline(void **state)
{
	struct place_candidates c = make_candidates(1);
	struct place_region_decision out;
	int64_t miss_ms = 3 * c.service_time_ms;

	(void)state;
	reset_upstreams();
	for (int i = 0; i < UPSTREAMS; i++)
		if (reference_rank(1, i) < 2)
			estimate[i].inflight_milli = 20 * SLOTS * 1000;
	c.time_left_ms = miss_ms + 1;
	place_choose_in_region(&c, &out);
	assert_int_not_equal(out.upstream, STEER_NONE);
	c.time_left_ms = miss_ms;
	place_choose_in_region(&c, &out);
	assert_int_equal(out.upstream, STEER_NONE);
	/* Without a cache there is no miss. */
	c.sticky = 0;
	place_choose_in_region(&c, &out);
	assert_int_not_equal(out.upstream, STEER_NONE);
}

/* Whatever the estimates: the wait is within the useful maximum, and the
 * upstream is available, active and not tried before. */
static void test_random_estimates(void **state)
{
	(void)state;
	srand(11);
	for (int round = 0; round < 20000; round++) {
		uint64_t tried[2];
		struct place_candidates p = make_candidates((uint64_t)rand());
		struct place_region_decision out;
		int usable = 0;

		reset_upstreams();
		for (int i = 0; i < UPSTREAMS; i++) {
			estimate[i].available = rand() % 3 > 0;
			estimate[i].inflight_milli = rand() % 20000;
			estimate[i].slowness_permille = rand() % 5000;
			estimate[i].failure_permille = rand() % 1000;
			upstream[i].state =
				rand() % 4 ? STEER_ACTIVE : STEER_LEAVING;
		}
		tried[0] = upstream[rand() % UPSTREAMS].id;
		tried[1] = upstream[rand() % UPSTREAMS].id;
		p.tried_ids = tried;
		p.ntried = rand() % 3;
		p.sticky = rand() % 2;
		p.wait_max_ms = rand() % 400;
		for (int i = 0; i < UPSTREAMS; i++)
			usable += estimate[i].available &&
				  upstream[i].state == STEER_ACTIVE;
		place_choose_in_region(&p, &out);
		if (!usable)
			assert_int_equal(out.upstream, STEER_NONE);
		if (out.upstream == STEER_NONE)
			continue;
		assert_true(estimate[out.upstream].available);
		assert_int_equal(upstream[out.upstream].state, STEER_ACTIVE);
		assert_true(out.wait_ms <= p.wait_max_ms);
		for (int k = 0; k < p.ntried; k++)
			assert_true(tried[k] != upstream[out.upstream].id);
	}
}

/* Few objects, requested often, that are three times faster with a warm cache:
 * under random load more than 90 percent of the requests must go to an upstream
 * that handled the object before. */
static void test_objects_stay_in_warm_caches(void **state)
{
	static int64_t last[UPSTREAMS][OBJECTS];
	int hits = 0;
	int n = 0;

	(void)state;
	reset_upstreams();
	memset(last, 0, sizeof(last));
	srand(5);
	for (int64_t now = 1; now < 20000; now++) {
		uint64_t o = (uint64_t)rand() % OBJECTS;
		struct place_region_decision p;

		for (int i = 0; i < UPSTREAMS; i++)
			estimate[i].inflight_milli = rand() % (SLOTS * 1200);
		p = place_object(o);
		if (p.upstream == STEER_NONE)
			continue;
		n++;
		hits += last[p.upstream][o] > 0;
		last[p.upstream][o] = now;
	}
	assert_true(hits > n * 9 / 10);
}

static struct place_region_load load[3];

/* Before the load is known, a region with few slots must not keep all requests
 * of its callers. */
static void test_shares_start_by_slots(void **state)
{
	struct place_shares s = {0};

	(void)state;
	load[0] = (struct place_region_load){.slots = 24};
	load[1] = (struct place_region_load){.slots = 84};
	load[2] = (struct place_region_load){.slots = 96};
	place_shares_update(&s, load, 3, 0, 40000, 0);
	/* A third of the requests, but only 24 of 204 slots. */
	assert_in_range(s.share_ppm[0], 340000, 360000);
	assert_in_range(s.share_ppm[0] + s.share_ppm[1] + s.share_ppm[2],
			999990, 1000000);
	memset(&s, 0, sizeof(s));
	place_shares_update(&s, load, 3, 1, 40000, 0);
	assert_int_equal(s.share_ppm[1], 1000000);
}

/* Whatever the loads, shares change by no more than the rate allows. */
static void test_shares_move_at_the_pace(void **state)
{
	struct place_shares s = {0};
	int64_t before[3];

	(void)state;
	srand(3);
	for (int64_t now = 0; now < 60000; now += 100) {
		for (int r = 0; r < 3; r++) {
			load[r].slots = 20 + 30 * r;
			load[r].inflight_milli =
				rand() % (load[r].slots * 2000);
		}
		memcpy(before, s.share_ppm, sizeof(before));
		place_shares_update(&s, load, 3, 0, 40000, now);
		for (int r = 0; r < 3 && now; r++)
			assert_in_range(s.share_ppm[r] - before[r] + 4010, 0,
					8020);
	}
}

/* Returns the own region's share after a minute at these loads, in percent of
 * the slots. */
static int64_t settled_own_share(int64_t own_percent, int64_t others_percent)
{
	struct place_shares s = {0};

	for (int r = 0; r < 3; r++)
		load[r] = (struct place_region_load){
			.slots = 100,
			.inflight_milli =
				1000 * (r ? others_percent : own_percent),
		};
	for (int64_t now = 0; now < 60000; now += 100)
		place_shares_update(&s, load, 3, 0, 40000, now);
	return s.share_ppm[0];
}

/* Requests move from a full region only to regions that are less full. */
static void test_shares_stay_while_all_are_full(void **state)
{
	(void)state;
	assert_in_range(settled_own_share(150, 20), 0, 100);
	assert_int_equal(settled_own_share(150, 150), 1000000);
	assert_int_equal(settled_own_share(150, 200), 1000000);
	assert_in_range(settled_own_share(150, 120), 0, 100);
}

static const uint64_t region_ids[STEER_REGIONS_MAX] = {7, 8, 9};

/* Without an object the regions get their shares to within one request, and
 * never a request that the mask excludes. */
static void test_shares_are_exact(void **state)
{
	struct place_shares s = {.share_ppm = {350000, 250000, 400000}};
	int n[3] = {0};

	(void)state;
	for (int i = 0; i < 200; i++)
		n[place_shares_next_region(&s, UINT32_MAX, region_ids, 0)]++;
	assert_in_range(n[0], 69, 71);
	assert_in_range(n[1], 49, 51);
	assert_in_range(n[2], 79, 81);
	for (int i = 0; i < 50; i++)
		assert_int_equal(
			place_shares_next_region(&s, 1u << 2, region_ids, 0),
			2);
	assert_int_equal(place_shares_next_region(&s, 1u << 5, region_ids, 0),
			 STEER_NONE);
}

/* Most requests for an object go to one region, yet the counts of the regions
 * never differ from their shares by more than a few requests. */
static void test_objects_keep_their_region(void **state)
{
	struct place_shares s = {.share_ppm = {350000, 250000, 400000}};
	int seen[OBJECTS][3] = {{0}};
	int n[3] = {0};
	int stayed = 0;
	int all = 0;

	(void)state;
	srand(23);
	for (int i = 1; i <= 9000; i++) {
		uint64_t o = (uint64_t)rand() % OBJECTS;
		int r = place_shares_next_region(&s, UINT32_MAX, region_ids,
						 prl_hash_combine(o, 99));

		seen[o][r]++;
		n[r]++;
		for (int k = 0; k < 3; k++) {
			double due = (double)i * (double)s.share_ppm[k] / 1e6;

			assert_true(n[k] < due + 4.01 && n[k] > due - 7);
		}
	}
	for (int o = 0; o < OBJECTS; o++) {
		int most = 0;

		for (int k = 0; k < 3; k++) {
			all += seen[o][k];
			if (seen[o][k] > most)
				most = seen[o][k];
		}
		stayed += most;
	}
	assert_true(stayed > all * 8 / 10);
}

/* VMs that came to know the regions in another order place an object alike. */
static void test_order_of_regions_does_not_matter(void **state)
{
	static const uint64_t other_ids[STEER_REGIONS_MAX] = {9, 7, 8};
	static const int index_of_other[] = {2, 0, 1};

	(void)state;
	for (uint64_t o = 1; o < 2000; o++) {
		struct place_shares a = {.share_ppm = {350000, 250000, 400000}};
		struct place_shares b = {.share_ppm = {400000, 350000, 250000}};
		int of_b =
			place_shares_next_region(&b, UINT32_MAX, other_ids, o);

		assert_int_equal(
			place_shares_next_region(&a, UINT32_MAX, region_ids, o),
			index_of_other[of_b]);
	}
}

/* A change of the shares by a tenth moves few objects. */
static void test_small_moves_move_few_objects(void **state)
{
	int moved = 0;

	(void)state;
	for (uint64_t o = 1; o < 2000; o++) {
		struct place_shares a = {.share_ppm = {400000, 300000, 300000}};
		struct place_shares b = {.share_ppm = {360000, 320000, 320000}};

		moved +=
			place_shares_next_region(&a, UINT32_MAX, region_ids,
						 o) !=
			place_shares_next_region(&b, UINT32_MAX, region_ids, o);
	}
	assert_in_range(moved, 20, 140);
}

/* A region that loses all its slots loses its share at once, whatever the rate
 * limit. */
static void test_lost_region_has_no_share(void **state)
{
	struct place_shares s = {0};

	(void)state;
	for (int r = 0; r < 3; r++)
		load[r] = (struct place_region_load){.slots = 50};
	place_shares_update(&s, load, 3, 0, 40000, 0);
	assert_int_equal(s.share_ppm[0], 1000000);
	load[0].slots = 0;
	place_shares_update(&s, load, 3, 0, 40000, 100);
	assert_int_equal(s.share_ppm[0], 0);
	assert_in_range(s.share_ppm[1] + s.share_ppm[2], 999990, 1000000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_idle_fleet_uses_the_home),
		cmocka_unit_test(test_loss_moves_only_its_objects),
		cmocka_unit_test(test_full_home_gives_to_the_second),
		cmocka_unit_test(test_others_only_while_idle),
		cmocka_unit_test(test_miss_must_fit_the_deadline),
		cmocka_unit_test(test_random_estimates),
		cmocka_unit_test(test_objects_stay_in_warm_caches),
		cmocka_unit_test(test_shares_start_by_slots),
		cmocka_unit_test(test_shares_move_at_the_pace),
		cmocka_unit_test(test_shares_stay_while_all_are_full),
		cmocka_unit_test(test_shares_are_exact),
		cmocka_unit_test(test_objects_keep_their_region),
		cmocka_unit_test(test_order_of_regions_does_not_matter),
		cmocka_unit_test(test_small_moves_move_few_objects),
		cmocka_unit_test(test_lost_region_has_no_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
