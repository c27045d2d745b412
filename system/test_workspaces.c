/* Workspaces and their keys, with real processes: what a caller needs, what an
 * upstream gets, and versions of the manifest that give and take keys. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "caller.h"
#include "workspaces.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <stdio.h>
#include <string.h>

#define OLD_KEY KEY_MARK "-old"
#define NEW_KEY KEY_MARK "-new"
#define KEY_LINE(key) "Api-Key: " key "\r\n"

/* Pause between two requests, in ms, and time for which nothing may change once
 * a version is in force. */
#define REQUEST_INTERVAL_MS 20
#define SETTLED_MS 500

/* Time in which a request that has ended is logged, in ms. */
#define LOGGED_MS 200

static int version = 10;

static int setup(void **state)
{
	routes_setup(state);
	isolated_start();
	workspaces_put_manifest(++version, OLD_KEY, 1);
	harness_sleep_ms(PROPAGATION_MS);
	return 0;
}

static void test_caller_chooses_its_name(void **state)
{
	static const char *const forged[] = {"Api-Key: " KEY_OF_BIRCH,
					     "X-Tenant-Name: acme", NULL};
	struct http_response resp;

	(void)state;
	resp = workspaces_request_with_key(1, KEY_OF_ACME);
	workspaces_expect_name(&resp, "acme");
	resp = workspaces_request_with_key(2, OLD_KEY);
	workspaces_expect_name(&resp, "acme");
	resp = workspaces_request(HTTP_PORT(1), "/keyed/fields", forged);
	workspaces_expect_name(&resp, "birch");
	resp = workspaces_request(HTTP_PORT(1), "/safe/fields", forged);
	assert_int_equal(resp.status, 200);
	assert_null(strstr(resp.body, "X-Tenant-Name"));
	assert_null(strstr(resp.body, KEY_MARK));
}

static void test_request_without_a_valid_key_runs(void **state)
{
	static const char *const lines[][3] = {
		{NULL},
		{"Api-Key;", NULL},
		{"Api-Key: nobody", NULL},
		{"X-Tenant-Name: acme", NULL},
		{"Api-Key: " KEY_OF_ACME, "Api-Key: " KEY_OF_ACME, NULL},
	};
	int64_t refused =
		harness_metric(METRICS_PORT(1), "requests_unauthorized");
	int64_t before = routes_runs_of_s();
	int n = sizeof(lines) / sizeof(*lines);
	struct http_response resp;

	(void)state;
	for (int i = 0; i < n; i++) {
		resp = workspaces_request(HTTP_PORT(1), "/keyed/plain",
					  lines[i]);
		assert_int_equal(resp.status, 401);
		assert_string_equal(resp.outcome, "not-run");
	}
	resp = workspaces_request(HTTP_PORT(1), "/none/plain", lines[0]);
	assert_int_equal(resp.status, 404);
	assert_int_equal(routes_runs_of_s(), before);
	assert_int_equal(
		harness_metric(METRICS_PORT(1), "requests_unauthorized"),
		refused + n);
}

/* Sends requests with both keys in turn until a version is in force that takes
 * the one and gives the other, and for a while after. */
static void change_keys_under_load(struct caller *c)
{
	struct call_request with_old = {.method = "GET",
					.path = "/keyed/plain",
					.headers = KEY_LINE(OLD_KEY)};
	struct call_request with_new = {.method = "GET",
					.path = "/keyed/plain",
					.headers = KEY_LINE(NEW_KEY)};
	int64_t until_ms = prl_now_ms() + PROPAGATION_MS;
	int is_taken = 0;
	int is_given = 0;

	while (!is_taken || !is_given || prl_now_ms() < until_ms) {
		int old_status = caller_send(c, &with_old).status;
		int new_status = caller_send(c, &with_new).status;

		if (!is_taken && !is_given &&
		    (old_status == 401 || new_status == 200))
			until_ms = prl_now_ms() + SETTLED_MS;
		is_taken |= old_status == 401;
		is_given |= new_status == 200;
		assert_int_equal(old_status, is_taken ? 401 : 200);
		assert_int_equal(new_status, is_given ? 200 : 401);
		assert_true(prl_now_ms() < until_ms + SETTLED_MS);
		harness_sleep_ms(REQUEST_INTERVAL_MS);
	}
}

/* A connection that was opened with a key gives no right to it. */
static void test_kept_connection_keeps_its_key(void **state)
{
	struct call_request with_old = {.method = "GET",
					.path = "/keyed/plain",
					.headers = KEY_LINE(OLD_KEY)};
	struct caller c;
	int fd;

	(void)state;
	caller_init(&c, HTTP_PORT(1), "kept");
	assert_int_equal(caller_send(&c, &with_old).status, 200);
	fd = c.fd;
	assert_true(fd >= 0);
	workspaces_put_manifest(++version, NEW_KEY, 1);
	change_keys_under_load(&c);
	assert_int_equal(c.fd, fd);
	caller_close(&c);
}

/* Another VM gets the name in place of the key, and both derive the same digest
 * of the request, which is another for another workspace. */
static void test_key_is_relayed(void **state)
{
	int64_t before =
		harness_metric(METRICS_PORT(ISOLATED_VM), "relays_sent");
	char digest[2][WORKSPACES_DIGEST_MAX];
	struct http_response resp;

	(void)state;
	isolated_cut();
	resp = workspaces_request_with_key(ISOLATED_VM, KEY_OF_ACME);
	workspaces_expect_name(&resp, "acme");
	assert_null(strstr(resp.body, "Relay"));
	harness_sleep_ms(LOGGED_MS);
	assert_int_equal(workspaces_read_digest(digest[0]), 2);
	resp = workspaces_request_with_key(ISOLATED_VM, KEY_OF_BIRCH);
	workspaces_expect_name(&resp, "birch");
	harness_sleep_ms(LOGGED_MS);
	assert_int_equal(workspaces_read_digest(digest[1]), 2);
	assert_string_not_equal(digest[0], digest[1]);
	resp = workspaces_request_with_key(ISOLATED_VM, "nobody");
	assert_int_equal(resp.status, 401);
	assert_true(harness_metric(METRICS_PORT(ISOLATED_VM), "relays_sent") >=
		    before + 2);
	isolated_set_link("pass");
}

/* A VM of an earlier build passes on the caller's headers. */
static void test_relayed_name_of_a_caller_is_believed(void **state)
{
	static const char *const forged[] = {"Relay-Attempts: 2",
					     "X-Tenant-Name: acme", NULL};
	static const char *const keyed[] = {"Relay-Attempts: 2",
					    "Api-Key: " KEY_OF_BIRCH,
					    "X-Tenant-Name: acme", NULL};
	int relay_port = PORT_BASE + 100 + 1;
	struct http_response resp;

	(void)state;
	resp = workspaces_request(relay_port, "/keyed/fields", forged);
	assert_int_equal(resp.status, 401);
	assert_string_equal(resp.outcome, "not-run");
	resp = workspaces_request(relay_port, "/keyed/fields", keyed);
	workspaces_expect_name(&resp, "birch");
}

/* Runs last: neither log lines nor the VMs' own pages have any key. */
static void test_key_is_shown(void **state)
{
	static const char *const pages[] = {"status", "metrics"};
	static char text[262144];
	char url[80];

	(void)state;
	assert_true(workspaces_count_log_lines("\"workspace\":\"acme\"") > 0);
	assert_int_equal(workspaces_count_log_lines(KEY_MARK), 0);
	/* The priority of acme, which no route has. */
	assert_true(workspaces_count_log_lines("\"priority\":\"7\"") > 0);
	for (size_t i = 0; i < sizeof(pages) / sizeof(*pages); i++) {
		snprintf(url, sizeof(url), "http://127.0.0.1:%d/-/%s",
			 METRICS_PORT(1), pages[i]);
		assert_int_equal(harness_get(url, text, sizeof(text)), 200);
		assert_null(strstr(text, KEY_MARK));
		if (!i)
			assert_int_equal(harness_json_int(text, "keys"), 3);
	}
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_caller_chooses_its_name),
		cmocka_unit_test(test_request_without_a_valid_key_runs),
		cmocka_unit_test(test_kept_connection_keeps_its_key),
		cmocka_unit_test(test_key_is_relayed),
		cmocka_unit_test(test_relayed_name_of_a_caller_is_believed),
		cmocka_unit_test(test_key_is_shown),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, setup, routes_teardown);
}
