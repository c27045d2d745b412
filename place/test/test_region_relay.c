/* Placement of requests that are passed on to VMs of another region. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "choose_fixture.h"
#include <cmocka.h>
#include <primroselead/peer_times.h>

/* A VM places what others pass on to it in its own region, whatever its own
 * shares say, and does not count it for them. */
static void test_passed_on_is_placed_here(void **unused)
{
	struct place_move_window *w = &service_state.move_window;
	struct place_shares before;
	struct place_decision decision;
	struct place_request req;

	(void)unused;
	service_state.shares = (struct place_shares){.share_ppm = {0, 1000000},
						     .initialized = 1};
	before = service_state.shares;
	for (uint64_t o = 1; o < 50; o++) {
		req = make_request(o);
		req.passed_on = 1;
		assert_int_equal(place_choose(&req, &decision), 1);
		assert_int_equal(decision.region, 0);
	}
	assert_memory_equal(&before, &service_state.shares, sizeof(before));
	assert_int_equal(w->bucket[0].local + w->bucket[0].remote, 0);
	/* Not elsewhere, though there is room. */
	set_outstanding(0, 20 * SLOTS);
	assert_int_equal(place_choose(&req, &decision), 0);
	/* Nor here if this region is not one of the homes. */
	set_outstanding(0, 0);
	req.region_mask = 1u << 1;
	assert_int_equal(place_choose(&req, &decision), 0);
}

/* A region that has refused a request is not tried again. */
static void test_full_region_is_left_out(void **unused)
{
	struct place_decision decision;
	struct place_request req;

	(void)unused;
	service_state.shares = (struct place_shares){.share_ppm = {0, 1000000},
						     .initialized = 1};
	req = make_request(3);
	req.full_regions = 1u << 1;
	assert_int_equal(place_pass_on(&req, 1), 0);
	if (place_choose(&req, &decision))
		assert_int_equal(decision.region, 0);
	req.full_regions = 3;
	assert_int_equal(place_choose(&req, &decision), 0);
}

/* Requests that are passed on count for the bound on moves. */
static void test_passing_on_is_bounded(void **unused)
{
	struct place_request req;
	int passed = 0;

	(void)unused;
	service_state.shares = (struct place_shares){
		.share_ppm = {800000, 200000}, .initialized = 1};
	for (uint64_t o = 0; o < 200; o++) {
		req = make_request(o);
		if (o % 2)
			place_move_window_count(&service_state.move_window, 0,
						now_ms);
		else
			passed += place_pass_on(&req, 1);
	}
	assert_in_range(passed, 20, 40);
}

static void test_first_home(void **unused)
{
	struct place_request req = make_request(9);
	int home = place_first_home(&req, 1);

	(void)unused;
	assert_in_range(home, PER_REGION, 2 * PER_REGION - 1);
	assert_int_equal(place_first_home(&req, 1), home);
	upstream[home].state = STEER_LEAVING;
	assert_int_not_equal(place_first_home(&req, 1), home);
	for (int i = PER_REGION; i < 2 * PER_REGION; i++)
		upstream[i].state = STEER_GONE;
	assert_int_equal(place_first_home(&req, 1), STEER_NONE);
}

/* Whether connections count as kept at this rate for each upstream of region 1.
 */
static int keeps_connections_at(int per_s)
{
	int interval_ms = 1000 / (per_s * PER_REGION);
	struct place_request req;
	int keeps = 0;

	for (int i = 0; i < 40000 / interval_ms; i++) {
		now_ms += interval_ms;
		req = make_request(1);
		keeps = place_keeps_connections(&req, 1, 1000, 2);
	}
	return keeps;
}

static void test_frequent_requests_keep_connections(void **unused)
{
	(void)unused;
	assert_false(keeps_connections_at(1));
	assert_true(keeps_connections_at(3));
	now_ms += 60000;
	assert_false(keeps_connections_at(1));
}

static int is_slow(const struct place_peer_times *t, uint64_t id, int64_t at_ms)
{
	uint64_t slow[PLACE_PEERS_MAX];
	int n = place_peer_times_list_slow(t, 1, at_ms, slow);

	for (int i = 0; i < n; i++)
		if (slow[i] == id)
			return 1;
	return 0;
}

static void test_slow_vm_rests_for_a_while(void **unused)
{
	static struct place_peer_times t;

	(void)unused;
	place_peer_times_record(&t, 7, 1, 110000, 1000);
	place_peer_times_record(&t, 8, 1, 300000, 1000);
	place_peer_times_record(&t, 9, 0, 400000, 1000);
	assert_false(is_slow(&t, 7, 1100));
	assert_true(is_slow(&t, 8, 1100));
	assert_false(is_slow(&t, 9, 1100));
	assert_false(is_slow(&t, 8, 12000));
	/* Old samples do not weigh on new ones. */
	place_peer_times_record(&t, 8, 1, 120000, 12000);
	assert_false(is_slow(&t, 8, 12100));
	/* The oldest entry gives way. */
	for (uint64_t id = 100; id < 100 + PLACE_PEERS_MAX; id++)
		place_peer_times_record(&t, id, 1, 300000, 12200);
	assert_true(is_slow(&t, 100 + PLACE_PEERS_MAX - 1, 12300));
	assert_false(is_slow(&t, 8, 12300));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_passed_on_is_placed_here, setup),
		cmocka_unit_test_setup(test_full_region_is_left_out, setup),
		cmocka_unit_test_setup(test_passing_on_is_bounded, setup),
		cmocka_unit_test_setup(test_first_home, setup),
		cmocka_unit_test_setup(test_frequent_requests_keep_connections,
				       setup),
		cmocka_unit_test(test_slow_vm_rests_for_a_while),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
