/* Cold upstreams after the store was away and lacks what was last written. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "routes.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <stdio.h>

/* Most requests that a cold upstream may get from all VMs in one second: 1.5
 * times the manifest's 5 a second, and 5. */
#define COLD_MAX_PER_S 12

/* Pause between two requests, in ms: more than the cold rate by far, and no
 * more than a busy upstream gets. */
#define REQUEST_INTERVAL_MS 45

#define SECOND_MS 1000

/* Time from the begin of an outage of 300 ms until all VMs have read from the
 * store again, in ms. */
#define RETURN_MS 1500

/* Time for which an evacuation that a copy lacks goes on at least, in ms. */
#define EVACUATION_KEPT_MS 1500

/* The upstream of service "s" that serves the requests' object. */
static int home_port;
static const char *home_instance;

static int64_t home_arrivals(void)
{
	return routes_upstream_stat(home_port, "ran") +
	       routes_upstream_stat(home_port, "checked");
}

static void find_home(void)
{
	int64_t before = routes_upstream_stat(UPSTREAM_PORT(1), "ran");

	for (int n = 1; n <= 2; n++) {
		struct http_response resp =
			routes_request_at(n, "GET", "/safe/plain");

		routes_expect_complete(&resp);
	}
	home_port = UPSTREAM_PORT(1);
	home_instance = "i-1";
	if (routes_upstream_stat(UPSTREAM_PORT(1), "ran") == before) {
		home_port = UPSTREAM_PORT(2);
		home_instance = "i-2";
	}
}

/* Sends requests to both VMs in turn. Returns the most that arrived at the home
 * upstream in one second, looked at every tenth of a second. */
static int64_t most_arrivals_per_s(int duration_ms)
{
	int64_t at[64] = {home_arrivals()};
	int64_t most = 0;
	int n = 1;

	for (int ms = 0; ms < duration_ms; ms += 2 * REQUEST_INTERVAL_MS) {
		for (int vm = 1; vm <= 2; vm++) {
			routes_request_at(vm, "GET", "/safe/plain");
			harness_sleep_ms(REQUEST_INTERVAL_MS);
		}
		at[n] = home_arrivals();
		/* The last SECOND_MS, rounded down to whole steps. */
		int from = n - SECOND_MS / (2 * REQUEST_INTERVAL_MS);

		if (from >= 0 && at[n] - at[from] > most)
			most = at[n] - at[from];
		n++;
	}
	return most;
}

static void set_home_cold(int ms)
{
	char url[80];
	char text[400];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/cold/%d",
		 home_port, ms);
	harness_get(url, text, sizeof(text));
}

/* The store returns from a copy, and its revisions are given out again: an
 * entry that says that its upstream is cold has a lower revision than the entry
 * that the VMs have. */
static void test_cold_entry_is_ignored_after_return_from_copy(void **state)
{
	(void)state;
	find_home();
	routes_set_store_faults("copy=1");
	for (int sequence = 2; sequence < 30; sequence++)
		routes_put_upstream(home_instance, "s", home_port, "ready",
				    sequence);
	harness_sleep_ms(PROPAGATION_MS);
	routes_set_store_faults("return=1&down_ms=300");
	harness_sleep_ms(PROPAGATION_MS);
	routes_put_cold_upstream(home_instance, "s", home_port, 6000, 40);
	harness_sleep_ms(PROPAGATION_MS);
	assert_in_range(most_arrivals_per_s(2500), 0, COLD_MAX_PER_S);
	harness_sleep_ms(2000);
}

/* The store answers again, but an upstream that turned cold has not written it
 * yet. */
static void test_cold_upstream_is_flooded_before_it_writes_again(void **state)
{
	(void)state;
	find_home();
	routes_set_store_faults("copy=1");
	routes_put_upstream("i-3", "t", UPSTREAM_PORT(3), "ready", 100);
	harness_sleep_ms(PROPAGATION_MS);
	routes_set_store_faults("return=1&down_ms=300");
	harness_sleep_ms(RETURN_MS);
	set_home_cold(3000);
	assert_in_range(most_arrivals_per_s(1400), 0, COLD_MAX_PER_S);
	harness_sleep_ms(3000);
}

/* A manifest and an evacuation that were in force, and that the copy lacks: the
 * manifest stays, the evacuation until it can have been written again. */
static void test_confirmed_changes_go_back_with_the_copy(void **state)
{
	int64_t kept_until_ms;
	int64_t before;

	(void)state;
	routes_set_store_faults("copy=1");
	routes_put_manifest(20, "t");
	harness_sleep_ms(PROPAGATION_MS);
	before = routes_upstream_stat(UPSTREAM_PORT(3), "ran");
	routes_set_store_faults("return=1&down_ms=300");
	for (int i = 0; i < 60; i++) {
		struct http_response resp =
			routes_request_at(1 + i % 2, "GET", "/safe/plain");

		routes_expect_complete(&resp);
		harness_sleep_ms(REQUEST_INTERVAL_MS);
	}
	assert_int_equal(routes_upstream_stat(UPSTREAM_PORT(3), "ran") - before,
			 60);
	routes_put_object("evacuations/norte-a", "{}");
	harness_sleep_ms(PROPAGATION_MS);
	before = routes_upstream_stat(UPSTREAM_PORT(3), "ran");
	kept_until_ms = prl_now_ms() + EVACUATION_KEPT_MS;
	routes_set_store_faults("return=1&down_ms=300");
	while (prl_now_ms() < kept_until_ms) {
		assert_int_equal(
			routes_request_at(1, "GET", "/safe/plain").status, 503);
		harness_sleep_ms(REQUEST_INTERVAL_MS);
	}
	assert_int_equal(routes_upstream_stat(UPSTREAM_PORT(3), "ran"), before);
	harness_sleep_ms(PROPAGATION_MS);
	assert_int_equal(routes_request_at(1, "GET", "/safe/plain").status,
			 200);
	routes_put_manifest(21, "s");
	harness_sleep_ms(PROPAGATION_MS);
}

/* A VM's registration that the copy lacks is written again: VMs that start
 * later find the others by it. */
static void test_registration_is_lost_with_the_copy(void **state)
{
	char url[80];

	(void)state;
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/api/objects/entry-vms",
		 STORE_PORT);
	routes_set_store_faults("copy=1");
	routes_put_object("entry-vms/vm1", "");
	assert_false(fleet_wait_text(url, "\"vm1\"", 100));
	routes_set_store_faults("copy=1");
	routes_set_store_faults("return=1");
	assert_true(fleet_wait_text(url, "\"vm1\"", 6000));
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_cold_entry_is_ignored_after_return_from_copy),
		cmocka_unit_test(
			test_cold_upstream_is_flooded_before_it_writes_again),
		cmocka_unit_test(test_confirmed_changes_go_back_with_the_copy),
		cmocka_unit_test(test_registration_is_lost_with_the_copy),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, routes_setup, routes_teardown);
}
