/* Routed requests to upstreams that misbehave. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "routes.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

static void test_answers_are_whole(void **state)
{
	struct http_response resp =
		routes_request("GET", "/safe/plain?x=%41&&y");

	(void)state;
	routes_expect_complete(&resp);
	resp = routes_request("POST", "/once/plain");
	routes_expect_complete(&resp);
	resp = routes_request("GET", "/safe/unframed");
	routes_expect_complete(&resp);
	resp = routes_request_at(2, "GET", "/safe/slow");
	routes_expect_complete(&resp);
}

/* A response that is streamed to the caller carries the outcome in its head. */
static void test_long_answer_says_that_it_ran(void **state)
{
	struct http_response resp = routes_request("GET", "/safe/long");

	(void)state;
	assert_int_equal(resp.status, 200);
	assert_int_equal(resp.has_server_stamp, 1);
	assert_string_equal(resp.outcome, "ran");
}

static void test_unknown_routes(void **state)
{
	struct http_response resp = routes_request("GET", "/other/plain");

	(void)state;
	assert_int_equal(resp.status, 404);
	assert_int_equal(resp.has_server_stamp, 0);
}

/* An invalid response never reaches the caller as a success. A safe request is
 * retried once; an unsafe one runs once. */
static void test_broken_answers(void **state)
{
	static const char *const failure_modes[] = {
		"cut",	   "unframed-cut", "other", "close",
		"garbage", "encoded",	   "bare"};
	char path[64];

	(void)state;
	for (size_t i = 0; i < sizeof(failure_modes) / sizeof(failure_modes[0]);
	     i++) {
		int64_t before = routes_runs_of_s();
		struct http_response resp;

		snprintf(path, sizeof(path), "/safe/%s", failure_modes[i]);
		resp = routes_request("GET", path);
		assert_int_equal(resp.status, 502);
		assert_int_equal(resp.has_server_stamp, 0);
		assert_int_equal(routes_runs_of_s(), before + 2);
		harness_sleep_ms(300);
		before = routes_runs_of_s();
		snprintf(path, sizeof(path), "/once/%s", failure_modes[i]);
		resp = routes_request("POST", path);
		assert_int_equal(resp.status, 502);
		assert_string_equal(resp.outcome, "unknown");
		assert_int_equal(routes_runs_of_s(), before + 1);
		harness_sleep_ms(300);
	}
}

/* A surplus response after the expected one is never passed to a caller. If it
 * arrives late, the next request on the connection reads it as its own: that
 * request gets the outcome "unknown" or is retried. */
static void test_extra_answer_is_dropped(void **state)
{
	(void)state;
	for (int i = 0; i < 20; i++) {
		struct http_response resp =
			routes_request("GET", "/safe/extra");

		routes_expect_complete(&resp);
		resp = routes_request("POST", "/once/plain");
		if (resp.status != 502)
			routes_expect_complete(&resp);
		else
			assert_string_equal(resp.outcome, "unknown");
	}
}

/* A connection on which a surplus response has arrived is not reused. */
static void test_connection_with_bytes_is_not_used(void **state)
{
	(void)state;
	harness_sleep_ms(150);
	for (int i = 0; i < 20; i++) {
		struct http_response resp =
			routes_request("GET", "/safe/extra");

		routes_expect_complete(&resp);
		harness_sleep_ms(100);
		resp = routes_request("POST", "/once/plain");
		routes_expect_complete(&resp);
	}
	harness_sleep_ms(100);
}

/* The outcome is "not-run", with Retry-After, if every upstream rejected the
 * request. */
static void test_refusal_is_true(void **state)
{
	int64_t before = routes_runs_of_s();
	struct http_response resp = routes_request("POST", "/once/shed");

	(void)state;
	assert_int_equal(resp.status, 503);
	assert_string_equal(resp.outcome, "not-run");
	assert_true(resp.retry_after_s > 0 && resp.retry_after_s < 2);
	assert_int_equal(routes_runs_of_s(), before);
	assert_true(routes_upstream_stat(UPSTREAM_PORT(1), "refused") > 0);
	assert_true(routes_upstream_stat(UPSTREAM_PORT(2), "refused") > 0);
}

static void test_timeout_of_the_route(void **state)
{
	int64_t began = prl_now_ms();
	struct http_response resp = routes_request("POST", "/once/mute");

	(void)state;
	assert_int_equal(resp.status, 504);
	assert_in_range(prl_now_ms() - began, 1400, 2000);
}

static struct http_response upload(const char *path, long long length,
				   long rate)
{
	static int serial;
	char id[64];
	char url[160];
	const char *headers[] = {id, "X-Deadline-Remaining-Ms: 20000", NULL};
	struct http_request req = {.method = "POST",
				   .url = url,
				   .host = "h.example",
				   .headers = headers,
				   .upload_bytes = length,
				   .upload_bytes_per_s = rate,
				   .timeout_ms = 30000};

	snprintf(id, sizeof(id), "X-Request-Id: u%d", ++serial);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", HTTP_PORT(1), path);
	return harness_send_request(&req);
}

/* A final response that is sent before the body was read reaches the caller,
 * whether the caller uploads fast or slowly. */
static void test_early_refusal_of_an_upload(void **state)
{
	(void)state;
	for (int i = 0; i < 10; i++) {
		struct http_response resp = upload("/none/plain", 8 << 20, 0);

		assert_int_equal(resp.status, 503);
		assert_string_equal(resp.outcome, "not-run");
	}
	assert_int_equal(upload("/none/plain", 8 << 20, 6 << 20).status, 503);
}

static void test_early_answer_of_an_upstream(void **state)
{
	struct http_response resp = upload("/up/early", 4 << 20, 0);

	(void)state;
	assert_int_equal(resp.status, 413);
	assert_int_equal(resp.has_server_stamp, 1);
	resp = upload("/up/plain", 4 << 20, 0);
	routes_expect_complete(&resp);
}

/* An upload that one upstream rejects is sent whole to the next one. */
static void test_refused_upload_is_sent_again(void **state)
{
	struct http_response resp = upload("/up/shed", 200000, 0);

	(void)state;
	assert_int_equal(resp.status, 503);
	assert_string_equal(resp.outcome, "not-run");
	resp = upload("/up/plain", 200000, 0);
	routes_expect_complete(&resp);
}

/* A route with home regions is served in one of them or rejected. */
static void test_homes_are_kept(void **state)
{
	int64_t before = routes_runs_of_s();
	struct http_response resp = routes_request("GET", "/far/plain");

	(void)state;
	assert_int_equal(resp.status, 503);
	assert_string_equal(resp.outcome, "not-run");
	assert_int_equal(routes_runs_of_s(), before);
	resp = routes_request("GET", "/near/plain");
	routes_expect_complete(&resp);
}

#define CONCURRENT_REQUESTS 6

static void *request_slow(void *arg)
{
	struct http_response *resp = arg;
	const char *headers[] = {"X-Request-Id: c", "X-Affinity-Key: 7", NULL};
	struct http_request req = {.method = "GET", .headers = headers};
	char url[80];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/safe/slow",
		 HTTP_PORT(1));
	req.url = url;
	req.host = "h.example";
	*resp = harness_send_request(&req);
	return NULL;
}

/* An upstream accepts 4 connections, so each of the two VMs may open 2. A
 * request beyond that is rejected at once. */
static void test_connections_are_divided(void **state)
{
	pthread_t thread[CONCURRENT_REQUESTS];
	struct http_response resp[CONCURRENT_REQUESTS];
	int ok = 0;

	(void)state;
	routes_put_manifest(30, "t");
	harness_sleep_ms(PROPAGATION_MS);
	for (int i = 0; i < CONCURRENT_REQUESTS; i++)
		pthread_create(&thread[i], NULL, request_slow, &resp[i]);
	for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
		pthread_join(thread[i], NULL);
		ok += resp[i].status == 200;
		if (resp[i].status == 200)
			continue;
		assert_int_equal(resp[i].status, 503);
		assert_string_equal(resp[i].outcome, "not-run");
		assert_true(resp[i].retry_after_s > 0);
	}
	assert_int_equal(ok, 2);
	assert_int_equal(routes_upstream_stat(UPSTREAM_PORT(3), "open_most"),
			 2);
	routes_put_manifest(31, "s");
	harness_sleep_ms(PROPAGATION_MS);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answers_are_whole),
		cmocka_unit_test(test_long_answer_says_that_it_ran),
		cmocka_unit_test(test_unknown_routes),
		cmocka_unit_test(test_broken_answers),
		cmocka_unit_test(test_extra_answer_is_dropped),
		cmocka_unit_test(test_connection_with_bytes_is_not_used),
		cmocka_unit_test(test_refusal_is_true),
		cmocka_unit_test(test_timeout_of_the_route),
		cmocka_unit_test(test_early_refusal_of_an_upload),
		cmocka_unit_test(test_early_answer_of_an_upstream),
		cmocka_unit_test(test_refused_upload_is_sent_again),
		cmocka_unit_test(test_homes_are_kept),
		cmocka_unit_test(test_connections_are_divided),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, routes_setup, routes_teardown);
}
