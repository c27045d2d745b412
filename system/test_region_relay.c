/* Requests that are to run in another region go through a VM there. The VM in
 * sur has no upstream in its region; all upstreams are in norte, with two VMs.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "routes.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* The VM in sur. */
#define FAR_VM 3

/* Pause between two requests, in ms. */
#define REQUEST_INTERVAL_MS 40

/* Time in which the VM in sur learns that VMs in norte have started, in ms. */
#define KNOWN_MS 4000

static int64_t metric(int vm, const char *name)
{
	return harness_metric(METRICS_PORT(vm), name);
}

static int64_t taken_in_norte(void)
{
	return metric(1, "relays_region_taken") +
	       metric(2, "relays_region_taken");
}

static int setup(void **state)
{
	routes_region[FAR_VM] = "sur";
	routes_setup(state);
	routes_start_vm(FAR_VM);
	harness_sleep_ms(KNOWN_MS);
	return 0;
}

static int send_requests(const char *method, const char *path, int n)
{
	int served = 0;

	for (int i = 0; i < n; i++) {
		struct http_response resp =
			routes_request_at(FAR_VM, method, path);

		served += resp.status == 200 && resp.has_server_stamp &&
			  !strcmp(resp.body, "hello world\n");
		harness_sleep_ms(REQUEST_INTERVAL_MS);
	}
	return served;
}

/* A VM passes requests on once it knows how many there are. */
static void await_passing_on(void)
{
	int64_t sent = metric(FAR_VM, "relays_region_sent");

	for (int i = 0; i < 100; i++) {
		send_requests("GET", "/safe/plain", 1);
		if (metric(FAR_VM, "relays_region_sent") > sent)
			return;
	}
	fail();
}

static void restart(int vm)
{
	routes_start_vm(vm);
	harness_sleep_ms(KNOWN_MS);
}

/* All requests run once, placed by the VMs of norte, and few connections carry
 * them. */
static void test_requests_go_through_the_region(void **state)
{
	int64_t sent;
	int64_t taken;
	int64_t runs;

	(void)state;
	await_passing_on();
	sent = metric(FAR_VM, "relays_region_sent");
	taken = taken_in_norte();
	runs = routes_runs_of_s();
	assert_int_equal(send_requests("GET", "/safe/plain", 25), 25);
	assert_int_equal(send_requests("POST", "/once/plain", 25), 25);
	assert_int_equal(metric(FAR_VM, "relays_region_sent") - sent, 50);
	assert_int_equal(taken_in_norte() - taken, 50);
	assert_int_equal(routes_runs_of_s() - runs, 50);
}

static void test_refusal_stays_true(void **state)
{
	struct http_response resp;
	int64_t runs;

	(void)state;
	await_passing_on();
	runs = routes_runs_of_s();
	resp = routes_request_at(FAR_VM, "POST", "/once/shed");
	assert_int_equal(resp.status, 503);
	assert_string_equal(resp.outcome, "not-run");
	assert_int_equal(routes_runs_of_s(), runs);
	resp = routes_request_at(FAR_VM, "POST", "/once/bare");
	assert_int_equal(resp.status, 502);
	resp = routes_request_at(FAR_VM, "POST", "/once/close");
	assert_int_equal(resp.status, 502);
	assert_int_equal(routes_runs_of_s(), runs + 2);
}

/* Sends a request to VM 1 as another VM would. */
static struct http_response send_as_vm(const char *region, const char *manifest)
{
	const char *headers[] = {"X-Request-Id: hop",
				 "Relay-Attempts: 2",
				 "X-Deadline-Remaining-Ms: 2000",
				 region,
				 manifest,
				 NULL};
	struct http_request req = {.host = "h.example", .headers = headers};
	char url[80];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/safe/plain",
		 RELAY_PORT(1));
	req.url = url;
	return harness_send_request(&req);
}

/* A VM places requests in its own region only, and none by a manifest that is
 * older than the sender's. */
static void test_vm_that_cannot_place_it(void **state)
{
	int64_t runs = routes_runs_of_s();
	struct http_response resp;

	(void)state;
	resp = send_as_vm("Relay-Region: norte", "Relay-Manifest: 3");
	assert_int_equal(resp.status, 200);
	assert_int_equal(routes_runs_of_s(), runs + 1);
	resp = send_as_vm("Relay-Region: sur", "Relay-Manifest: 3");
	assert_int_equal(resp.status, 503);
	assert_string_equal(resp.outcome, "not-run");
	resp = send_as_vm("Relay-Region: norte", "Relay-Manifest: 4");
	assert_int_equal(resp.status, 503);
	assert_string_equal(resp.outcome, "not-run");
	assert_int_equal(routes_runs_of_s(), runs + 1);
}

/* A planned stop of a VM in norte cuts no request. */
static void test_vm_in_region_stops(void **state)
{
	(void)state;
	await_passing_on();
	assert_int_equal(send_requests("POST", "/once/plain", 10), 10);
	kill(routes_vm_pid[1], SIGTERM);
	assert_int_equal(send_requests("POST", "/once/plain", 75), 75);
	assert_int_equal(harness_wait(routes_vm_pid[1]), 0);
	assert_int_equal(send_requests("GET", "/safe/plain", 25), 25);
	restart(1);
}

/* A VM of the build before doesn't know of regions in relays. */
static void test_build_before_takes_over(void **state)
{
	int64_t sent;
	int64_t runs;

	(void)state;
	kill(routes_vm_pid[1], SIGTERM);
	kill(routes_vm_pid[2], SIGTERM);
	harness_wait(routes_vm_pid[1]);
	harness_wait(routes_vm_pid[2]);
	routes_is_production[1] = 1;
	restart(1);
	await_passing_on();
	sent = metric(FAR_VM, "relays_region_sent");
	runs = routes_runs_of_s();
	assert_int_equal(send_requests("POST", "/once/plain", 25), 25);
	assert_int_equal(routes_runs_of_s() - runs, 25);
	assert_int_equal(metric(FAR_VM, "relays_region_sent") - sent, 25);
	kill(routes_vm_pid[1], SIGTERM);
	harness_wait(routes_vm_pid[1]);
	routes_is_production[1] = 0;
	routes_start_vm(2);
	restart(1);
}

/* A VM that dies while it works on an unsafe request: that may have run, and is
 * not repeated. Without VMs in norte the requests go to its upstreams. */
static void test_vm_in_region_dies(void **state)
{
	struct http_response resp;
	int64_t runs;
	int served;

	(void)state;
	await_passing_on();
	runs = routes_runs_of_s();
	harness_signal_later(routes_vm_pid[1], routes_vm_pid[2], SIGKILL, 300);
	resp = routes_request_at(FAR_VM, "POST", "/once/slow");
	assert_int_equal(resp.status, 502);
	assert_int_equal(routes_runs_of_s(), runs + 1);
	harness_wait(routes_vm_pid[1]);
	harness_wait(routes_vm_pid[2]);
	served = send_requests("POST", "/once/plain", 25);
	print_message("%d of 25 served\n", served);
	assert_int_equal(served, 25);
	assert_int_equal(routes_runs_of_s(), runs + 26);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_requests_go_through_the_region),
		cmocka_unit_test(test_refusal_stays_true),
		cmocka_unit_test(test_vm_that_cannot_place_it),
		cmocka_unit_test(test_vm_in_region_stops),
		cmocka_unit_test(test_build_before_takes_over),
		cmocka_unit_test(test_vm_in_region_dies),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, setup, routes_teardown);
}
