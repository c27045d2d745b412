#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "loads.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <string.h>

#define NOW_MS 100000

static struct proxy proxy;
static struct proxy_thread thread;
static struct proxy_upstream_stats upstream_stats[2];
static struct proxy_service_stats service_stats[1];
static struct place_upstream_stats placement_stats[2];
static struct place_service_state placement_state[1];
static struct steer_upstream upstream[1] = {{.stats_index = 1}};
static const struct steer_service service = {.upstream = upstream,
					     .nupstream = 1};

static int setup(void **unused)
{
	(void)unused;
	memset(upstream_stats, 0, sizeof(upstream_stats));
	memset(service_stats, 0, sizeof(service_stats));
	memset(placement_stats, 0, sizeof(placement_stats));
	memset(placement_state, 0, sizeof(placement_state));
	proxy.upstream = upstream_stats;
	proxy.service = service_stats;
	thread.proxy = &proxy;
	thread.placement_stats = placement_stats;
	thread.placement_state = placement_state;
	return 0;
}

static int64_t inflight_at(int64_t now)
{
	loads_read_peers(&thread, &service);
	return place_inflight(&placement_stats[1],
			      atomic_load(&upstream_stats[1].outstanding), now);
}

static void tell_peer_load(int running, int slowness, int64_t told_ms)
{
	proxy_set_peer_load(&proxy, 1,
			    &(struct proxy_load){.running = running,
						 .slowness_percent = slowness,
						 .told_ms = told_ms});
}

/* The newest report counts, whoever got it, and only once. */
static void test_newest_report_counts(void **unused)
{
	(void)unused;
	loads_record_own(&thread, 1,
			 &(struct proxy_load){.running = 4,
					      .waiting = 2,
					      .slowness_percent = -1,
					      .told_ms = NOW_MS});
	tell_peer_load(9, 150, NOW_MS - 1);
	assert_int_equal(inflight_at(NOW_MS), 6000);
	assert_int_equal(placement_stats[1].slowness_permille, 0);
	tell_peer_load(9, 150, NOW_MS + 10);
	tell_peer_load(1, 150, NOW_MS + 5);
	assert_int_equal(inflight_at(NOW_MS + 10), 9000);
	assert_int_equal(placement_stats[1].slowness_permille, 1500);
	assert_int_equal(placement_stats[1].slowness_reported_ms, NOW_MS + 10);
}

/* The requests of this VM are part of the report. */
static void test_own_requests_are_not_counted_twice(void **unused)
{
	(void)unused;
	atomic_store(&upstream_stats[1].outstanding, 3);
	tell_peer_load(5, -1, NOW_MS);
	assert_int_equal(inflight_at(NOW_MS), 5000);
}

/* Only what an upstream told this VM itself is passed on. */
static void test_peer_report_is_not_own(void **unused)
{
	struct proxy_load load;

	(void)unused;
	tell_peer_load(5, -1, NOW_MS);
	assert_false(proxy_get_own_load(&proxy, 1, &load));
	assert_int_equal(proxy_told_inflight_milli(&proxy, 1, NOW_MS), 5000);
	assert_int_equal(proxy_told_inflight_milli(&proxy, 1, NOW_MS + 3000),
			 0);
	loads_record_own(&thread, 1,
			 &(struct proxy_load){.running = 2,
					      .slowness_percent = -1,
					      .told_ms = NOW_MS + 1});
	assert_true(proxy_get_own_load(&proxy, 1, &load));
	assert_int_equal(load.running, 2);
	assert_int_equal(load.slowness_percent, -1);
	assert_int_equal(proxy_told_inflight_milli(&proxy, 1, NOW_MS + 1),
			 2000);
}

static void test_region_totals(void **unused)
{
	(void)unused;
	proxy_set_region_load(&proxy, 0, 2, 7000, NOW_MS);
	loads_read_peers(&thread, &service);
	assert_int_equal(placement_state[0].told[2].inflight_milli, 7000);
	assert_int_equal(placement_state[0].told[2].told_ms, NOW_MS);
	assert_int_equal(placement_state[0].told[1].told_ms, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_newest_report_counts, setup),
		cmocka_unit_test_setup(test_own_requests_are_not_counted_twice,
				       setup),
		cmocka_unit_test_setup(test_peer_report_is_not_own, setup),
		cmocka_unit_test_setup(test_region_totals, setup),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
