/* Upstreams that say in their responses that they leave, or that they want no
 * requests for a while. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "routes.h"
#include <cmocka.h>
#include <stdio.h>

/* Time in which a VM must act on a response, in ms. */
#define TOLD_MS 500

/* Pause between two requests, in ms. */
#define REQUEST_INTERVAL_MS 45

static int home;

static void set_state(int upstream, const char *state, int value)
{
	char url[80];
	char text[400];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/%s/%d",
		 UPSTREAM_PORT(upstream), state, value);
	harness_get(url, text, sizeof(text));
}

/* Requests that arrived at the upstream, run or rejected, and health checks. */
static int64_t arrivals(int upstream)
{
	int port = UPSTREAM_PORT(upstream);

	return routes_upstream_stat(port, "ran") +
	       routes_upstream_stat(port, "refused") +
	       routes_upstream_stat(port, "checked");
}

static void send_requests(int vm, int duration_ms)
{
	for (int ms = 0; ms < duration_ms; ms += REQUEST_INTERVAL_MS) {
		struct http_response resp =
			routes_request_at(vm, "GET", "/safe/plain");

		routes_expect_complete(&resp);
		harness_sleep_ms(REQUEST_INTERVAL_MS);
	}
}

static void find_home(void)
{
	int64_t before = arrivals(1);

	send_requests(1, 1);
	home = arrivals(1) > before ? 1 : 2;
}

/* No requests follow a response that says that its upstream leaves, although
 * its entry does not say so, also from a VM that only heard of it, and while
 * the store is away. A new entry of the same start does not take that back. */
static void test_upstream_that_says_it_leaves_is_used(void **state)
{
	int64_t before;

	(void)state;
	find_home();
	routes_set_store_faults("down_ms=3000");
	harness_sleep_ms(TOLD_MS);
	set_state(home, "leave", 1);
	send_requests(1, 1);
	harness_sleep_ms(TOLD_MS);
	set_state(home, "leave", 0);
	before = routes_upstream_stat(UPSTREAM_PORT(home), "ran");
	send_requests(2, 500);
	send_requests(1, 500);
	assert_int_equal(routes_upstream_stat(UPSTREAM_PORT(home), "ran"),
			 before);
	harness_sleep_ms(PROPAGATION_MS + 2000);
	routes_put_upstream(home == 1 ? "i-1" : "i-2", "s", UPSTREAM_PORT(home),
			    "ready", 50);
	harness_sleep_ms(PROPAGATION_MS);
	send_requests(2, 500);
	assert_int_equal(routes_upstream_stat(UPSTREAM_PORT(home), "ran"),
			 before);
	home = 3 - home;
}

/* After a response with 503 and a time to come back, at most two requests reach
 * the upstream from this VM before that time, health checks included; then it
 * is used again. */
static void test_closed_upstream_is_asked_again_too_early(void **state)
{
	int64_t before;

	(void)state;
	/* Health checks are made while the store is away. */
	routes_set_store_faults("down_ms=6000");
	harness_sleep_ms(TOLD_MS);
	set_state(home, "closed", 4000);
	routes_request_at(1, "GET", "/safe/plain");
	harness_sleep_ms(TOLD_MS);
	before = arrivals(home);
	for (int ms = 0; ms < 3000; ms += REQUEST_INTERVAL_MS) {
		routes_request_at(1, "GET", "/safe/plain");
		harness_sleep_ms(REQUEST_INTERVAL_MS);
	}
	assert_in_range(arrivals(home) - before, 0, 2);
	harness_sleep_ms(1000);
	before = routes_upstream_stat(UPSTREAM_PORT(home), "ran");
	for (int i = 0; i < 10; i++)
		routes_request_at(1, "GET", "/safe/plain");
	assert_true(routes_upstream_stat(UPSTREAM_PORT(home), "ran") > before);
}

/* The response to a health check tells, too. */
static void test_upstream_that_says_so_to_a_check_is_used(void **state)
{
	int64_t before;

	(void)state;
	routes_set_store_faults("down_ms=4000");
	set_state(home, "leave", 1);
	harness_sleep_ms(1500);
	set_state(home, "leave", 0);
	before = routes_upstream_stat(UPSTREAM_PORT(home), "ran");
	for (int i = 0; i < 10; i++) {
		routes_request_at(1, "GET", "/safe/plain");
		routes_request_at(2, "GET", "/safe/plain");
	}
	assert_int_equal(routes_upstream_stat(UPSTREAM_PORT(home), "ran"),
			 before);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_upstream_that_says_it_leaves_is_used),
		cmocka_unit_test(test_closed_upstream_is_asked_again_too_early),
		cmocka_unit_test(test_upstream_that_says_so_to_a_check_is_used),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, routes_setup, routes_teardown);
}
