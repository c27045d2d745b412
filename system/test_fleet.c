/* A fleet with routes from the platform's manifest: configuration changes,
 * store outages, planned stops and crashes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "routes.h"
#include <arpa/inet.h>
#include <cmocka.h>
#include <netinet/in.h>
#include <primroselead/clock.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static int lookup_contains(int n, const char *address)
{
	static char text[1024];
	char url[160];

	snprintf(url, sizeof(url),
		 "http://127.0.0.1:%d/api/resolve?name=h.example&region=norte"
		 "&zone=norte-a",
		 LOOKUP_PORT(n));
	if (harness_get(url, text, sizeof(text)) != 200)
		return 0;
	return strstr(text, address) != NULL;
}

/* Waits until VM n names another VM in look-ups, or does not. */
static int wait_for_lookup(int n, int other, int expected, int timeout_ms)
{
	char address[32];

	snprintf(address, sizeof(address), "127.0.0.1:%d", HTTP_PORT(other));
	for (int i = 0; i < timeout_ms / 50; i++) {
		if (lookup_contains(n, address) == expected)
			return 1;
		harness_sleep_ms(50);
	}
	return 0;
}

static void test_lookups_name_all_that_are_ready(void **state)
{
	(void)state;
	assert_true(wait_for_lookup(1, 2, 1, 3000));
	assert_true(wait_for_lookup(2, 1, 1, 3000));
}

static void test_address_of_another_instance(void **state)
{
	struct http_response resp;

	(void)state;
	/* Both entries are stale: another instance has their address. */
	routes_put_upstream("i-1", "s", UPSTREAM_PORT(3), "ready", 2);
	routes_put_upstream("i-2", "s", UPSTREAM_PORT(3), "ready", 2);
	harness_sleep_ms(PROPAGATION_MS);
	resp = routes_request("POST", "/once/plain");
	assert_int_equal(resp.status, 503);
	assert_string_equal(resp.outcome, "not-run");
	assert_true(routes_upstream_stat(UPSTREAM_PORT(3), "misdirected") >= 1);
	routes_put_upstream("i-1", "s", UPSTREAM_PORT(1), "ready", 3);
	routes_put_upstream("i-2", "s", UPSTREAM_PORT(2), "ready", 3);
	harness_sleep_ms(PROPAGATION_MS);
}

/* An upstream whose address another instance answers is ejected like one that
 * is unreachable: each request that detects it is delayed by the failed
 * attempt, and may hit a second such upstream on its retry. */
static void test_missing_instance_is_left_alone(void **state)
{
	int64_t before = routes_upstream_stat(UPSTREAM_PORT(3), "misdirected");

	(void)state;
	routes_put_upstream("i-1", "s", UPSTREAM_PORT(3), "ready", 3);
	harness_sleep_ms(PROPAGATION_MS);
	for (int i = 0; i < 60; i++)
		assert_int_equal(
			routes_request_at(1, "GET", "/safe/plain").status, 200);
	assert_in_range(routes_upstream_stat(UPSTREAM_PORT(3), "misdirected") -
				before,
			1, 3);
	routes_put_upstream("i-1", "s", UPSTREAM_PORT(1), "ready", 3);
	harness_sleep_ms(PROPAGATION_MS);
}

/* All of 20 requests through VM n succeed, and the upstream runs none. */
static void expect_no_requests(int n, int upstream)
{
	int64_t before = routes_upstream_stat(UPSTREAM_PORT(upstream), "ran");

	for (int i = 0; i < 20; i++)
		assert_int_equal(
			routes_request_at(n, "GET", "/safe/plain").status, 200);
	assert_int_equal(routes_upstream_stat(UPSTREAM_PORT(upstream), "ran"),
			 before);
}

static void test_leaving_upstream_gets_nothing(void **state)
{
	(void)state;
	routes_put_upstream("i-1", "s", UPSTREAM_PORT(1), "draining", 4);
	harness_sleep_ms(PROPAGATION_MS);
	expect_no_requests(1, 1);
	routes_put_upstream("i-1", "s", UPSTREAM_PORT(1), "ready", 5);
	harness_sleep_ms(PROPAGATION_MS);
}

static void test_evacuated_domain_gets_nothing(void **state)
{
	struct http_response resp;

	(void)state;
	routes_put_object("evacuations/norte-a", "{}");
	harness_sleep_ms(PROPAGATION_MS);
	resp = routes_request("POST", "/once/plain");
	assert_int_equal(resp.status, 503);
	assert_string_equal(resp.outcome, "not-run");
	routes_put_object("evacuations/norte-a", "");
	harness_sleep_ms(PROPAGATION_MS);
	assert_int_equal(routes_request("GET", "/safe/plain").status, 200);
}

static void test_manifest_comes_into_force_and_stays(void **state)
{
	int64_t before;

	(void)state;
	routes_put_manifest(9, "t");
	harness_sleep_ms(PROPAGATION_MS);
	before = routes_upstream_stat(UPSTREAM_PORT(3), "ran");
	assert_int_equal(routes_request("GET", "/safe/plain").status, 200);
	assert_int_equal(routes_upstream_stat(UPSTREAM_PORT(3), "ran"),
			 before + 1);
	/* A manifest with an older version is ignored. */
	routes_put_manifest(8, "s");
	harness_sleep_ms(PROPAGATION_MS);
	assert_int_equal(routes_request("GET", "/safe/plain").status, 200);
	assert_int_equal(routes_upstream_stat(UPSTREAM_PORT(3), "ran"),
			 before + 2);
	routes_put_manifest(12, "s");
	harness_sleep_ms(PROPAGATION_MS);
}

/* Time after the return of the store, as a VM sees it, for which upstreams are
 * checked on, in ms: they may not have written to the store yet. */
#define CHECKED_AFTER_RETURN_MS 3000

/* After compaction of the store's history a VM lists all objects, and so finds
 * changes that its watch missed. */
static void test_dropped_history(void **state)
{
	(void)state;
	routes_set_store_faults("compact=1");
	routes_put_upstream("i-2", "s", UPSTREAM_PORT(2), "draining", 6);
	harness_sleep_ms(PROPAGATION_MS);
	expect_no_requests(1, 2);
	routes_put_upstream("i-2", "s", UPSTREAM_PORT(2), "ready", 7);
	harness_sleep_ms(PROPAGATION_MS);
}

/* Requests are served from the installed configuration during a store outage,
 * and a manifest that is written after the outage takes effect. */
static void test_outage_of_the_store(void **state)
{
	int64_t end = prl_now_ms() + 4000;

	(void)state;
	routes_set_store_faults("down_ms=4000");
	while (prl_now_ms() < end)
		assert_int_equal(routes_request("GET", "/safe/plain").status,
				 200);
	routes_put_manifest(20, "t");
	harness_sleep_ms(PROPAGATION_MS);
	assert_int_equal(routes_request("GET", "/safe/plain").status, 200);
	assert_true(routes_upstream_stat(UPSTREAM_PORT(3), "ran") > 0);
	routes_put_manifest(21, "s");
	harness_sleep_ms(PROPAGATION_MS);
}

static void set_cold(int upstream, int ms)
{
	char url[80];
	char text[200];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/cold/%d",
		 UPSTREAM_PORT(upstream), ms);
	harness_get(url, text, sizeof(text));
}

/* During a store outage, only a health check shows that an upstream is cold.
 * After that check, all VMs together stay within its cold rate (cold_per_s). */
static void test_cold_is_seen_without_the_store(void **state)
{
	int64_t began;
	int64_t checked;
	int64_t sent[2];

	(void)state;
	checked = routes_upstream_stat(UPSTREAM_PORT(1), "checked");
	routes_set_store_faults("down_ms=9000");
	harness_sleep_ms(3500);
	/* One VM checks each upstream 4 times/s from the first failed store
	 * request on. */
	assert_in_range(routes_upstream_stat(UPSTREAM_PORT(1), "checked") -
				checked,
			2, 16);
	set_cold(1, 8000);
	set_cold(2, 8000);
	/* An upstream that is found cold is paused for the rest of the second:
	 * requests sent before the health check count towards its rate. */
	harness_sleep_ms(400);
	for (int i = 0; i < 10; i++)
		assert_int_equal(
			routes_request_at(1 + i % 2, "GET", "/safe/plain")
				.status,
			503);
	harness_sleep_ms(800);
	for (int i = 0; i < 2; i++)
		sent[i] = -routes_upstream_stat(UPSTREAM_PORT(1 + i), "ran");
	began = prl_now_ms();
	for (int i = 0; i < 60; i++)
		routes_request_at(1 + i % 2, "GET", "/safe/plain");
	assert_true(prl_now_ms() - began < 1000);
	for (int i = 0; i < 2; i++) {
		sent[i] += routes_upstream_stat(UPSTREAM_PORT(1 + i), "ran");
		assert_in_range(sent[i], 1, 5 * 3 / 2 + 5);
	}
	/* No health checks while an upstream is known to be cold, nor once the
	 * store has been back for CHECKED_AFTER_RETURN_MS. */
	checked = routes_upstream_stat(UPSTREAM_PORT(1), "checked");
	harness_sleep_ms(1000);
	assert_int_equal(routes_upstream_stat(UPSTREAM_PORT(1), "checked"),
			 checked);
	harness_sleep_ms(6500 + CHECKED_AFTER_RETURN_MS);
	checked = routes_upstream_stat(UPSTREAM_PORT(1), "checked");
	harness_sleep_ms(1000);
	assert_int_equal(routes_upstream_stat(UPSTREAM_PORT(1), "checked"),
			 checked);
	assert_int_equal(routes_request("GET", "/safe/plain").status, 200);
}

/* When an upstream turns out cold, others in its domain get no requests until
 * a health check shows that they are warm. */
static void test_others_of_a_cold_one_rest(void **state)
{
	int64_t sent;

	(void)state;
	routes_set_store_faults("down_ms=5500");
	harness_sleep_ms(3000);
	set_cold(2, 4000);
	harness_sleep_ms(400);
	sent = -routes_upstream_stat(UPSTREAM_PORT(1), "ran");
	for (int i = 0; i < 10; i++)
		routes_request_at(1 + i % 2, "GET", "/safe/plain");
	assert_int_equal(sent + routes_upstream_stat(UPSTREAM_PORT(1), "ran"),
			 0);
	harness_sleep_ms(1300);
	for (int i = 0; i < 10; i++)
		assert_int_equal(
			routes_request_at(1 + i % 2, "GET", "/safe/plain")
				.status,
			200);
	harness_sleep_ms(3500);
	assert_int_equal(routes_request("GET", "/safe/plain").status, 200);
}

/* An upstream that the store listed as cold gets one health check instead of
 * a series, as every check counts towards the few requests per second that its
 * cold rate allows. */
static void test_known_cold_is_asked_once(void **state)
{
	int64_t checked = routes_upstream_stat(UPSTREAM_PORT(1), "checked");

	(void)state;
	routes_put_cold_upstream("i-1", "s", UPSTREAM_PORT(1), 6000, 8);
	set_cold(1, 6000);
	harness_sleep_ms(500);
	routes_set_store_faults("down_ms=4000");
	harness_sleep_ms(3500);
	assert_in_range(routes_upstream_stat(UPSTREAM_PORT(1), "checked") -
				checked,
			1, 2);
	harness_sleep_ms(3000);
}

/* Sends a request and returns the socket without reading the response. */
static int send_without_reading(int port, const char *path)
{
	int fd = harness_connect(port);
	char text[200];
	int n = snprintf(text, sizeof(text),
			 "POST %s HTTP/1.1\r\nHost: h.example\r\n"
			 "X-Request-Id: hang\r\nContent-Length: 0\r\n\r\n",
			 path);

	assert_true(fd >= 0);
	assert_int_equal(write(fd, text, (size_t)n), n);
	return fd;
}

static int is_ready(int n)
{
	char url[80];
	char text[200];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/api/readiness",
		 READY_PORT(n));
	return harness_get(url, text, sizeof(text)) == 200;
}

static void test_hangup_reloads(void **state)
{
	(void)state;
	kill(routes_vm_pid[1], SIGHUP);
	harness_sleep_ms(300);
	assert_int_equal(routes_request("GET", "/safe/plain").status, 200);
	assert_true(is_ready(1));
}

/* SIGTERM: the VM is unready at once, drops out of lookups, still serves
 * requests that arrive, and exits before its grace period of 6 s ends. */
static void test_planned_stop(void **state)
{
	int64_t began = prl_now_ms();

	(void)state;
	kill(routes_vm_pid[2], SIGTERM);
	harness_sleep_ms(200);
	assert_false(is_ready(2));
	assert_int_equal(routes_request_at(2, "GET", "/safe/plain").status,
			 200);
	assert_true(wait_for_lookup(1, 2, 0, 1500));
	assert_int_equal(harness_wait(routes_vm_pid[2]), 0);
	assert_true(prl_now_ms() - began < 5800);
	routes_start_vm(2);
	assert_true(wait_for_lookup(1, 2, 1, 5000));
}

/* A request that outlasts the grace period is aborted, and the process exits
 * without being killed. */
static void test_stop_with_a_request_that_hangs(void **state)
{
	int64_t began = prl_now_ms();
	int fd;

	(void)state;
	fd = send_without_reading(HTTP_PORT(2), "/up/mute");
	harness_sleep_ms(200);
	kill(routes_vm_pid[2], SIGTERM);
	assert_int_equal(harness_wait(routes_vm_pid[2]), 0);
	assert_true(prl_now_ms() - began < 6200);
	close(fd);
	routes_start_vm(2);
	assert_true(wait_for_lookup(1, 2, 1, 5000));
}

/* A crashed VM drops out of lookups, also during a store outage. */
static void test_dead_vm_is_not_named(void **state)
{
	(void)state;
	routes_set_store_faults("down_ms=6000");
	harness_kill(routes_vm_pid[2], SIGKILL);
	assert_true(wait_for_lookup(1, 2, 0, 5000));
	harness_sleep_ms(3000);
	routes_start_vm(2);
	assert_true(wait_for_lookup(1, 2, 1, 5000));
}

/* A VM that can't reach the store gets its configuration and later changes
 * from its peers, and serves as they do. */
static void test_vm_without_the_store(void **state)
{
	(void)state;
	routes_start_vm_with_store(3, UNUSED_PORT);
	assert_int_equal(routes_request_at(3, "GET", "/safe/plain").status,
			 200);
	routes_put_upstream("i-1", "s", UPSTREAM_PORT(1), "draining", 14);
	harness_sleep_ms(PROPAGATION_MS);
	expect_no_requests(3, 1);
	routes_put_object("evacuations/norte-a", "{}");
	harness_sleep_ms(PROPAGATION_MS);
	assert_int_equal(routes_request_at(3, "POST", "/once/plain").status,
			 503);
	routes_put_object("evacuations/norte-a", "");
	routes_put_upstream("i-1", "s", UPSTREAM_PORT(1), "ready", 15);
	harness_sleep_ms(PROPAGATION_MS);
	assert_int_equal(routes_request_at(3, "GET", "/safe/plain").status,
			 200);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lookups_name_all_that_are_ready),
		cmocka_unit_test(test_address_of_another_instance),
		cmocka_unit_test(test_missing_instance_is_left_alone),
		cmocka_unit_test(test_leaving_upstream_gets_nothing),
		cmocka_unit_test(test_evacuated_domain_gets_nothing),
		cmocka_unit_test(test_manifest_comes_into_force_and_stays),
		cmocka_unit_test(test_dropped_history),
		cmocka_unit_test(test_outage_of_the_store),
		cmocka_unit_test(test_cold_is_seen_without_the_store),
		cmocka_unit_test(test_others_of_a_cold_one_rest),
		cmocka_unit_test(test_known_cold_is_asked_once),
		cmocka_unit_test(test_hangup_reloads),
		cmocka_unit_test(test_planned_stop),
		cmocka_unit_test(test_stop_with_a_request_that_hangs),
		cmocka_unit_test(test_dead_vm_is_not_named),
		cmocka_unit_test(test_vm_without_the_store),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, routes_setup, routes_teardown);
}
