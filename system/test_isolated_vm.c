/* A VM that loses its links to all upstreams, while callers, a store and the
 * other VMs still reach it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "isolated.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Time from the return of the links until the VM must use them, in ms. */
#define RETURN_MS 3000

/* Pause between two requests, in ms. */
#define REQUEST_INTERVAL_MS 40

static int setup(void **state)
{
	routes_setup(state);
	isolated_start();
	return 0;
}

/* Ends what an earlier test that failed left behind. */
static int restore_link(void **state)
{
	(void)state;
	isolated_set_link("pass");
	harness_sleep_ms(RETURN_MS);
	return 0;
}

struct tally {
	int sent;
	int served;
	/** Requests that failed without the promise that they did not run. */
	int unknown;
};

static struct tally send_requests(const char *method, const char *path,
				  int duration_ms)
{
	struct tally t = {0};

	for (int ms = 0; ms < duration_ms; ms += REQUEST_INTERVAL_MS) {
		struct http_response resp =
			routes_request_at(ISOLATED_VM, method, path);

		t.sent++;
		t.served += resp.status == 200 && resp.has_server_stamp &&
			    !strcmp(resp.body, "hello world\n");
		t.unknown += resp.status != 200 && resp.status != 503;
		harness_sleep_ms(REQUEST_INTERVAL_MS);
	}
	return t;
}

static void expect_served(const struct tally *t)
{
	print_message("%d of %d served\n", t->served, t->sent);
	assert_true(t->served * 20 >= t->sent * 19);
	assert_int_equal(t->unknown, 0);
}

static void cut_and_expect_service(const char *mode)
{
	struct tally t = send_requests("GET", "/safe/plain", 400);
	int64_t ran;

	expect_served(&t);
	isolated_set_link(mode);
	isolated_press();
	t = send_requests("GET", "/safe/plain", 2000);
	expect_served(&t);
	ran = routes_runs_of_s();
	t = send_requests("POST", "/once/plain", 1000);
	expect_served(&t);
	assert_int_equal(routes_runs_of_s() - ran, t.sent);
	isolated_set_link("pass");
	harness_sleep_ms(RETURN_MS);
	t = send_requests("GET", "/safe/plain", 400);
	expect_served(&t);
}

static void test_callers_of_a_vm_with_silent_links_fail(void **state)
{
	(void)state;
	cut_and_expect_service("silent");
}

static void test_callers_of_a_vm_with_refused_links_fail(void **state)
{
	(void)state;
	cut_and_expect_service("refuse");
}

static void test_callers_of_a_vm_that_opens_no_connection_fail(void **state)
{
	(void)state;
	cut_and_expect_service("refuse-new");
}

/* Bodies reach the upstream and the caller whole across two VMs, and an answer
 * that breaks off does not look complete. */
static void test_relayed_body_is_cut(void **state)
{
	struct http_request upload = {.host = "h.example",
				      .upload_bytes = 3 << 20,
				      .timeout_ms = 20000};
	const char *headers[] = {"X-Request-Id: big", NULL};
	struct http_response resp;
	char url[80];
	int64_t before;

	(void)state;
	isolated_cut();
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/up/plain",
		 HTTP_PORT(ISOLATED_VM));
	upload.url = url;
	upload.headers = headers;
	before = routes_upstream_stat(UPSTREAM_PORT(1), "body_bytes") +
		 routes_upstream_stat(UPSTREAM_PORT(2), "body_bytes");
	resp = harness_send_request(&upload);
	routes_expect_complete(&resp);
	assert_int_equal(
		routes_upstream_stat(UPSTREAM_PORT(1), "body_bytes") +
			routes_upstream_stat(UPSTREAM_PORT(2), "body_bytes") -
			before,
		3 << 20);
	resp = routes_request_at(ISOLATED_VM, "GET", "/safe/long");
	assert_int_equal(resp.status, 200);
	resp = routes_request_at(ISOLATED_VM, "GET", "/safe/cut");
	assert_int_not_equal(resp.status, 200);
	resp = routes_request_at(ISOLATED_VM, "GET", "/safe/unframed-cut");
	assert_int_not_equal(resp.status, 200);
	resp = routes_request_at(ISOLATED_VM, "GET", "/safe/other");
	assert_int_not_equal(resp.status, 200);
}

/* The upstream's word that it did not run a request holds across two VMs. */
static void test_relayed_refusal_is_true(void **state)
{
	struct http_response resp;
	int64_t before;

	(void)state;
	isolated_cut();
	before = routes_runs_of_s();
	resp = routes_request_at(ISOLATED_VM, "POST", "/once/shed");
	assert_int_equal(resp.status, 503);
	assert_string_equal(resp.outcome, "not-run");
	assert_int_equal(routes_runs_of_s(), before);
	resp = routes_request_at(ISOLATED_VM, "POST", "/once/bare");
	assert_int_equal(resp.status, 502);
	resp = routes_request_at(ISOLATED_VM, "POST", "/once/close");
	assert_int_equal(resp.status, 502);
	assert_int_equal(routes_runs_of_s(), before + 2);
}

static int is_named(int by)
{
	char url[160];
	char text[1024];
	char address[40];

	snprintf(url, sizeof(url),
		 "http://127.0.0.1:%d/api/resolve?name=h.example&region=norte",
		 LOOKUP_PORT(by));
	snprintf(address, sizeof(address), "127.0.0.1:%d",
		 HTTP_PORT(ISOLATED_VM));
	assert_int_equal(harness_get(url, text, sizeof(text)), 200);
	return strstr(text, address) != NULL;
}

static void test_isolated_vm_is_named(void **state)
{
	(void)state;
	assert_true(is_named(1));
	isolated_cut();
	assert_false(is_named(1));
	assert_false(is_named(ISOLATED_VM));
	isolated_set_link("pass");
	harness_sleep_ms(RETURN_MS);
	assert_true(is_named(1));
	assert_true(is_named(ISOLATED_VM));
}

/* A relayed request is never relayed again. */
static void test_request_is_relayed_twice(void **state)
{
	const char *headers[] = {"X-Request-Id: hop", "Relay-Attempts: 2",
				 "X-Deadline-Remaining-Ms: 2000", NULL};
	struct http_request req = {.host = "h.example", .headers = headers};
	struct http_response resp;
	char url[80];
	int64_t before;

	(void)state;
	isolated_cut();
	before = routes_runs_of_s();
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/safe/plain",
		 PORT_BASE + 100 + ISOLATED_VM);
	req.url = url;
	resp = harness_send_request(&req);
	assert_int_equal(resp.status, 503);
	assert_string_equal(resp.outcome, "not-run");
	assert_int_equal(routes_runs_of_s(), before);
}

/* A planned stop of a VM that takes over requests cuts none of them, and what
 * comes to it while it stops is served elsewhere. */
static void test_other_vm_stops(void **state)
{
	struct tally t;

	(void)state;
	isolated_cut();
	t = send_requests("POST", "/once/plain", 400);
	expect_served(&t);
	kill(routes_vm_pid[1], SIGTERM);
	t = send_requests("POST", "/once/plain", 3000);
	print_message("%d of %d served\n", t.served, t.sent);
	assert_int_equal(t.served, t.sent);
	assert_int_equal(harness_wait(routes_vm_pid[1]), 0);
	t = send_requests("GET", "/safe/plain", 1000);
	assert_int_equal(t.served, t.sent);
	routes_start_vm(1);
	harness_sleep_ms(PROPAGATION_MS);
}

/* VMs that die while they work on a relayed request: it may have run, so it is
 * neither repeated nor said not to have run. After that no VM reaches the
 * upstreams, and requests are rejected at once. */
static void test_other_vm_dies(void **state)
{
	struct tally t;
	struct http_response resp;
	int64_t before;
	int64_t started_ms;

	(void)state;
	isolated_cut();
	before = routes_runs_of_s();
	harness_signal_later(routes_vm_pid[1], routes_vm_pid[2], SIGKILL, 300);
	resp = routes_request_at(ISOLATED_VM, "POST", "/once/slow");
	assert_int_equal(resp.status, 502);
	assert_int_equal(routes_runs_of_s(), before + 1);
	harness_wait(routes_vm_pid[1]);
	harness_wait(routes_vm_pid[2]);
	harness_sleep_ms(PROPAGATION_MS);
	started_ms = prl_now_ms();
	resp = routes_request_at(ISOLATED_VM, "GET", "/safe/plain");
	assert_in_range(prl_now_ms() - started_ms, 0, 250);
	assert_int_equal(resp.status, 503);
	assert_string_equal(resp.outcome, "not-run");
	assert_true(resp.retry_after_s >= 0.5 && resp.retry_after_s <= 2);
	isolated_set_link("pass");
	harness_sleep_ms(RETURN_MS);
	t = send_requests("GET", "/safe/plain", 1000);
	expect_served(&t);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(
			test_callers_of_a_vm_with_silent_links_fail,
			restore_link),
		cmocka_unit_test_setup(
			test_callers_of_a_vm_with_refused_links_fail,
			restore_link),
		cmocka_unit_test_setup(
			test_callers_of_a_vm_that_opens_no_connection_fail,
			restore_link),
		cmocka_unit_test_setup(test_relayed_body_is_cut, restore_link),
		cmocka_unit_test_setup(test_relayed_refusal_is_true,
				       restore_link),
		cmocka_unit_test_setup(test_isolated_vm_is_named, restore_link),
		cmocka_unit_test_setup(test_request_is_relayed_twice,
				       restore_link),
		cmocka_unit_test_setup(test_other_vm_stops, restore_link),
		cmocka_unit_test_setup(test_other_vm_dies, restore_link),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, setup, routes_teardown);
}
