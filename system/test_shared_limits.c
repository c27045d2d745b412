/* Limits that all VMs share: who adds up their use, and what follows when that
 * VM is lost. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "routes.h"
#include <cmocka.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VMS 4

/* Time in which VMs agree on who adds up, in ms. */
#define SETTLE_MS 8000

/* Time in which the VMs are sure to have noticed the loss of one, in ms. */
#define LOSS_MS 1500

/* Time in which the status page that was asked for is renewed, in ms. */
#define STATUS_MS 300

static int setup(void **state)
{
	routes_setup(state);
	for (int n = 3; n <= VMS; n++)
		routes_start_vm(n);
	return 0;
}

/* Returns the VM that adds up the use of this many VMs, or 0. */
static int find_aggregator(int heard, const int *is_gone)
{
	for (int n = 1; n <= VMS; n++)
		if (!is_gone[n] &&
		    harness_metric(METRICS_PORT(n), "usage_vms_heard") == heard)
			return n;
	return 0;
}

static int count_following(const int *is_gone)
{
	int following = 0;

	for (int n = 1; n <= VMS; n++)
		following +=
			!is_gone[n] &&
			harness_metric(METRICS_PORT(n), "usage_following") == 1;
	return following;
}

/* Waits until all VMs but those that are gone follow one. Returns it, or 0. */
static int wait_for_aggregator(int vms, const int *is_gone)
{
	for (int ms = 0; ms < SETTLE_MS; ms += 100) {
		int n = find_aggregator(vms, is_gone);

		if (n && count_following(is_gone) == vms)
			return n;
		harness_sleep_ms(100);
	}
	return 0;
}

/* Returns the demand of VM 1's region for service "s" by the status page of VM
 * n, in thousandths of a request per second. */
static int read_demand(int n)
{
	static char text[32768];
	char url[80];
	const char *at;

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/-/status",
		 METRICS_PORT(n));
	harness_get(url, text, sizeof(text));
	at = strstr(text, "\"name\":\"s\",\"type\":\"retries\"");
	at = at ? strstr(at, "\"norte\":") : NULL;
	return at ? atoi(at + strlen("\"norte\":")) : -1;
}

/* All VMs learn how many requests come to a region, whichever VM takes them. */
static void test_demand_of_a_region(void **state)
{
	int is_gone[VMS + 1] = {0};

	(void)state;
	assert_true(wait_for_aggregator(VMS, is_gone) > 0);
	for (int i = 0; i < 100; i++) {
		routes_request("GET", "/safe/plain");
		harness_sleep_ms(40);
	}
	assert_in_range(read_demand(1), 5000, 40000);
	assert_in_range(read_demand(VMS), 5000, 40000);
}

/* The status page has the shares of the regions in use, and the queue. */
static void test_status_of_shares_and_queue(void **state)
{
	static const char share[] = "\"region_share_permille\":{\"norte\":";
	static char text[32768];
	char arg[40];
	char url[80];
	const char *at;

	(void)state;
	assert_int_equal(routes_request("GET", "/safe/plain").status, 200);
	harness_sleep_ms(STATUS_MS);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/-/status",
		 METRICS_PORT(1));
	harness_get(url, text, sizeof(text));
	harness_sleep_ms(STATUS_MS);
	harness_get(url, text, sizeof(text));
	at = strstr(text, "\"name\":\"s\",\"type\":\"retries\"");
	assert_non_null(at);
	at = strstr(at, share);
	assert_non_null(at);
	assert_in_range(atoi(at + strlen(share)), 999, 1000);
	at = strstr(text, "\"queue\":{");
	assert_non_null(at);
	assert_int_equal(harness_json_int(at, "timely"), 0);
	assert_int_equal(harness_json_int(at, "late"), 0);
	assert_int_equal(harness_json_int(at, "queued"),
			 harness_metric(METRICS_PORT(1), "requests_queued"));
	snprintf(arg, sizeof(arg), "--vm=127.0.0.1:%d", METRICS_PORT(1));
	assert_int_equal(harness_run(text, sizeof(text), "primroselead",
				     "status", arg, NULL),
			 0);
	assert_non_null(strstr(text, "vm1 "));
}

/* VMs that lose the one that adds up use their own parts until another one
 * does, which withholds the part of the VM that is gone. */
static void test_aggregator_is_lost(void **state)
{
	int is_gone[VMS + 1] = {0};
	int first = wait_for_aggregator(VMS, is_gone);
	int second;

	(void)state;
	assert_true(first > 0);
	harness_kill(routes_vm_pid[first], SIGKILL);
	is_gone[first] = 1;
	harness_sleep_ms(LOSS_MS);
	assert_int_equal(count_following(is_gone), 0);
	second = wait_for_aggregator(VMS - 1, is_gone);
	assert_true(second > 0);
	assert_int_equal(harness_metric(METRICS_PORT(second), "usage_vms"),
			 VMS);
	assert_int_equal(routes_request_at(second, "GET", "/safe/plain").status,
			 200);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_demand_of_a_region),
		cmocka_unit_test(test_status_of_shares_and_queue),
		cmocka_unit_test(test_aggregator_is_lost),
	};

	(void)argc;
	harness_init(argv[0]);
	routes_port_base = TEST_PORT(2400);
	return cmocka_run_group_tests(tests, setup, routes_teardown);
}
