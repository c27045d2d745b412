/* Upstreams that name in their responses how many requests a second they take
 * from all VMs together. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "routes.h"
#include <cmocka.h>
#include <stdio.h>

/* The limit that the upstreams name, in requests per second. */
#define LIMIT_PER_S 2

/* Most requests that all VMs that were told may send in 4 s: one and a half
 * times what the limit allows, and 5. */
#define WINDOW_MS 4000
#define ARRIVALS_MAX (LIMIT_PER_S * 4 * 3 / 2 + 5)

/* Time from the first response that names a limit until it holds, in ms. */
#define TOLD_MS 500

/* Pause between two requests, in ms. */
#define REQUEST_INTERVAL_MS 45

static void set_limit(int port, int milli)
{
	char url[80];
	char text[400];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/limit/%d", port,
		 milli);
	harness_get(url, text, sizeof(text));
}

/* Sends requests to all VMs in turn. Returns how many were answered by an
 * upstream. */
static int send_requests(int duration_ms, int nvm)
{
	int served = 0;

	for (int ms = 0; ms < duration_ms; ms += nvm * REQUEST_INTERVAL_MS) {
		for (int vm = 1; vm <= nvm; vm++) {
			struct http_response resp =
				routes_request_at(vm, "GET", "/safe/plain");

			served += resp.status == 200;
			harness_sleep_ms(REQUEST_INTERVAL_MS);
		}
	}
	return served;
}

/* All VMs together stay within the limit of an upstream that some of them were
 * told of, and requests go to the other upstream. */
static void test_limited_upstream_is_flooded(void **state)
{
	int port = UPSTREAM_PORT(1);
	int64_t before = routes_upstream_stat(port, "ran");

	(void)state;
	send_requests(200, 2);
	if (routes_upstream_stat(port, "ran") == before)
		port = UPSTREAM_PORT(2);
	set_limit(port, LIMIT_PER_S * 1000);
	send_requests(TOLD_MS, 2);
	before = routes_upstream_stat(port, "ran");
	assert_true(send_requests(WINDOW_MS, 2) > WINDOW_MS / 100);
	assert_in_range(routes_upstream_stat(port, "ran") - before, 0,
			ARRIVALS_MAX);
	set_limit(port, -1);
}

/* The health checks of an outage of the store are requests, too. */
static void test_limited_upstream_is_flooded_by_checks(void **state)
{
	int port = UPSTREAM_PORT(1);
	int64_t before;

	(void)state;
	for (int n = 1; n <= 2; n++)
		set_limit(UPSTREAM_PORT(n), LIMIT_PER_S * 1000);
	send_requests(TOLD_MS, 2);
	routes_set_store_faults("down_ms=6000");
	harness_sleep_ms(TOLD_MS);
	before = routes_upstream_stat(port, "ran") +
		 routes_upstream_stat(port, "checked");
	send_requests(WINDOW_MS, 2);
	assert_in_range(routes_upstream_stat(port, "ran") +
				routes_upstream_stat(port, "checked") - before,
			0, ARRIVALS_MAX);
	for (int n = 1; n <= 2; n++)
		set_limit(UPSTREAM_PORT(n), -1);
	routes_set_store_faults("down_ms=0");
	send_requests(2 * WINDOW_MS / LIMIT_PER_S, 2);
}

/* A VM that learned of the limit from another one keeps to it from its first
 * request on, and all VMs use the upstream again once it names no limit. */
static void test_limit_ends(void **state)
{
	int64_t before;
	int home = 1;

	(void)state;
	harness_sleep_ms(TOLD_MS);
	before = routes_upstream_stat(UPSTREAM_PORT(1), "ran");
	send_requests(200, 2);
	if (routes_upstream_stat(UPSTREAM_PORT(1), "ran") == before)
		home = 2;
	set_limit(UPSTREAM_PORT(home), LIMIT_PER_S * 1000);
	send_requests(REQUEST_INTERVAL_MS, 1);
	harness_sleep_ms(TOLD_MS);
	before = routes_upstream_stat(UPSTREAM_PORT(home), "ran");
	for (int i = 0; i < 20; i++)
		routes_request_at(2, "GET", "/safe/plain");
	assert_int_equal(routes_upstream_stat(UPSTREAM_PORT(home), "ran"),
			 before);
	set_limit(UPSTREAM_PORT(home), -1);
	/* The VM that is asked now was told of the limit by the other one. */
	for (int ms = 0; ms < 2 * WINDOW_MS; ms += REQUEST_INTERVAL_MS) {
		routes_request_at(2, "GET", "/safe/plain");
		harness_sleep_ms(REQUEST_INTERVAL_MS);
	}
	before = routes_upstream_stat(UPSTREAM_PORT(home), "ran");
	for (int i = 0; i < 20; i++)
		routes_request_at(2, "GET", "/safe/plain");
	assert_true(routes_upstream_stat(UPSTREAM_PORT(home), "ran") - before >
		    10);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limited_upstream_is_flooded),
		cmocka_unit_test(test_limited_upstream_is_flooded_by_checks),
		cmocka_unit_test(test_limit_ends),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, routes_setup, routes_teardown);
}
