/* Requests while the store is down, a VM is paused, restarts or stops, or an
 * upstream drains. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "path.h"
#include <cmocka.h>
#include <signal.h>

/* During a store outage requests without a claim go on. Requests that need a
 * claim are rejected as "not-run", and no upstream runs them. */
static void test_store_outage(void **state)
{
	const char *small[] = {"--requests=200", "--callers=4", NULL};
	struct http_response resp;

	(void)state;
	path_set_store_faults("down_ms=4000");
	path_run_load(small);
	assert_int_equal(harness_json_int(path_output, "ok"), 200);
	resp = path_post_accept(1, "outage-1");
	assert_int_equal(resp.status, 503);
	assert_string_equal(resp.outcome, "not-run");
	assert_int_equal(path_runs_of_key("outage-1"), 0);
	path_set_store_faults("down_ms=0");
	resp = path_retry_accept(1, "outage-1", 4950);
	assert_int_equal(resp.status, 200);
	assert_int_equal(path_runs_of_key("outage-1"), 1);
}

/* A VM that starts during a store outage gets the configuration from its
 * peers. */
static void test_start_during_outage(void **state)
{
	struct http_response resp;

	(void)state;
	assert_int_equal(harness_kill(path_vm_pid[2], SIGKILL), -SIGKILL);
	path_set_store_faults("down_ms=6000");
	path_vm_pid[2] = fleet_start_vm(&path_vm2_config);
	assert_true(fleet_wait_text("http://" LOOPBACK "7102/-/health", "live",
				    5000));
	resp = harness_send_request(&(struct http_request){
		.url = "http://" LOOPBACK "7102/-/lookup?service=s"});
	assert_int_equal(resp.status, 200);
	path_set_store_faults("down_ms=0");
	assert_true(fleet_wait_revision(PORT_BASE + 2, 1, 5000));
	harness_sleep_ms(2500);
}

/* A VM that was paused for longer than its lease uses no capacity until it has
 * read the ledger again. */
static void test_pause_beyond_lease(void **state)
{
	struct http_response resp;

	(void)state;
	kill(path_vm_pid[3], SIGSTOP);
	harness_sleep_ms(7000);
	path_set_store_faults("down_ms=3000");
	kill(path_vm_pid[3], SIGCONT);
	resp = harness_send_request(&(struct http_request){
		.url = "http://" LOOPBACK "7103/x", .host = "s"});
	assert_int_equal(resp.status, 503);
	assert_string_equal(resp.outcome, "not-run");
	/* Wait for "unconfirmed" first: the status page from before the pause
	 * also says "live". */
	assert_true(fleet_wait_text("http://" LOOPBACK "7103/-/status",
				    "\"state\":\"unconfirmed\"", 2500));
	assert_true(fleet_wait_text("http://" LOOPBACK "7103/-/status",
				    "\"state\":\"live\",\"region\"", 15000));
	resp = harness_send_request(&(struct http_request){
		.url = "http://" LOOPBACK "7103/x", .host = "s"});
	assert_int_equal(resp.status, 200);
}

/* An upstream that the platform marks as leaving gets no new requests 3 s
 * later, and the running ones complete. */
static void test_leaving_upstream(void **state)
{
	const char *args[] = {
		"--vm=" LOOPBACK "7101", "--service=s", "--ms=9000",
		"--callers=6",		 "--work=20",	NULL};
	struct http_request put = {
		.method = "PUT",
		.url = "http://" LOOPBACK "7000/admin/objects/"
		       "steer/vms/n1",
		.body = "{\"kind\":\"upstream\",\"state\":"
			"\"leaving\",\"http\":\"" LOOPBACK "7300\"}"};
	int64_t ran;
	pid_t load;

	(void)state;
	load = harness_spawn("standin-load", args);
	harness_sleep_ms(1000);
	assert_true(path_upstream_stat(0, "ran") > 0);
	assert_int_equal(harness_send_request(&put).status, 200);
	harness_sleep_ms(3000);
	ran = path_upstream_stat(0, "ran");
	harness_sleep_ms(3000);
	assert_int_equal(path_upstream_stat(0, "ran"), ran);
	assert_int_equal(path_upstream_stat(0, "running"), 0);
	assert_int_equal(harness_wait(load), 0);
	put.body = "{\"kind\":\"upstream\",\"state\":\"live\",\"http\":"
		   "\"" LOOPBACK "7300\"}";
	assert_int_equal(harness_send_request(&put).status, 200);
	harness_sleep_ms(1000);
}

/* SIGTERM, and a second one while requests drain: no response is truncated. */
static void test_planned_stop_cuts_nothing(void **state)
{
	const char *args[] = {
		"--vm=" LOOPBACK "7101", "--service=s", "--ms=7000",
		"--callers=40",		 "--work=300",	NULL};
	pid_t load;

	(void)state;
	load = harness_spawn("standin-load", args);
	harness_sleep_ms(2000);
	kill(path_vm_pid[2], SIGTERM);
	harness_sleep_ms(300);
	assert_int_equal(harness_kill(path_vm_pid[2], SIGTERM), 0);
	assert_int_equal(harness_wait(load), 0);
	path_vm_pid[2] = fleet_start_vm(&path_vm2_config);
	assert_true(fleet_wait_revision(PORT_BASE + 2, 1, 10000));
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_store_outage),
		cmocka_unit_test(test_start_during_outage),
		cmocka_unit_test(test_pause_beyond_lease),
		cmocka_unit_test(test_leaving_upstream),
		cmocka_unit_test(test_planned_stop_cuts_nothing),
	};
	int rc;

	(void)argc;
	harness_init(argv[0]);
	rc = cmocka_run_group_tests(tests, path_setup, path_teardown);
	harness_finish();
	return rc;
}
