/* The whole path while something is missing: the store, a VM, an upstream. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "path.h"
#include <cmocka.h>
#include <signal.h>

/* While the store is down traffic goes on; what must be claimed is refused,
 * and that is true. */
static void test_store_outage(void **state)
{
	const char *small[] = {"--requests=200", "--callers=4", NULL};
	struct answer a;

	(void)state;
	path_store_faults("down_ms=4000");
	path_run_load(small);
	assert_int_equal(harness_number(path_out, "ok"), 200);
	a = path_accept_at(1, "outage-1");
	assert_int_equal(a.status, 503);
	assert_string_equal(a.outcome, "not-run");
	assert_int_equal(path_key_count("outage-1"), 0);
	path_store_faults("down_ms=0");
	a = path_accept_free(1, "outage-1", 4950);
	assert_int_equal(a.status, 200);
	assert_int_equal(path_key_count("outage-1"), 1);
}

/* A VM that starts while the store is down takes the configuration from the
 * others. */
static void test_start_during_outage(void **state)
{
	struct answer a;

	(void)state;
	assert_int_equal(harness_end(path_vm[2], SIGKILL), -SIGKILL);
	path_store_faults("down_ms=6000");
	path_vm[2] = fleet_vm(&path_vm2);
	assert_true(fleet_wait_text("http://127.0.0.1:27102/-/health", "live",
				    5000));
	a = harness_call(&(struct call){
		.url = "http://127.0.0.1:27102/-/lookup?service=s"});
	assert_int_equal(a.status, 200);
	path_store_faults("down_ms=0");
	assert_true(fleet_wait(BASE + 2, 1, 5000));
	harness_sleep(2500);
}

/* Paused beyond its lease, a VM uses no capacity before the ledger has been
 * read again. */
static void test_pause_beyond_lease(void **state)
{
	struct answer a;

	(void)state;
	kill(path_vm[3], SIGSTOP);
	harness_sleep(7000);
	path_store_faults("down_ms=3000");
	kill(path_vm[3], SIGCONT);
	a = harness_call(
		&(struct call){.url = "http://127.0.0.1:27103/x", .host = "s"});
	assert_int_equal(a.status, 503);
	assert_string_equal(a.outcome, "not-run");
	/* The text from before the pause says "live" as well. */
	assert_true(fleet_wait_text("http://127.0.0.1:27103/-/status",
				    "\"state\":\"unconfirmed\"", 2500));
	assert_true(fleet_wait_text("http://127.0.0.1:27103/-/status",
				    "\"state\":\"live\",\"region\"", 15000));
	a = harness_call(
		&(struct call){.url = "http://127.0.0.1:27103/x", .host = "s"});
	assert_int_equal(a.status, 200);
}

/* An upstream that the platform's list marks as leaving gets nothing new
 * within 3 s of that, and what runs there ends. */
static void test_leaving_upstream(void **state)
{
	const char *args[] = {
		"--vm=127.0.0.1:27101", "--service=s", "--ms=9000",
		"--callers=6",		"--work=20",   NULL};
	struct call put = {.method = "PUT",
			   .url = "http://127.0.0.1:27000/admin/objects/"
				  "steer/vms/n1",
			   .body = "{\"kind\":\"upstream\",\"state\":"
				   "\"leaving\",\"http\":\"127.0.0.1:27300\"}"};
	int64_t ran;
	pid_t load;

	(void)state;
	load = harness_start("standin-load", args);
	harness_sleep(1000);
	assert_true(path_upstream_number(0, "ran") > 0);
	assert_int_equal(harness_call(&put).status, 200);
	harness_sleep(3000);
	ran = path_upstream_number(0, "ran");
	harness_sleep(3000);
	assert_int_equal(path_upstream_number(0, "ran"), ran);
	assert_int_equal(path_upstream_number(0, "running"), 0);
	assert_int_equal(harness_wait(load), 0);
	put.body = "{\"kind\":\"upstream\",\"state\":\"live\",\"http\":"
		   "\"127.0.0.1:27300\"}";
	assert_int_equal(harness_call(&put).status, 200);
	harness_sleep(1000);
}

/* SIGTERM with many requests in flight, and a second one: nothing is cut. */
static void test_planned_stop_cuts_nothing(void **state)
{
	const char *args[] = {
		"--vm=127.0.0.1:27101", "--service=s", "--ms=7000",
		"--callers=40",		"--work=300",  NULL};
	pid_t load;

	(void)state;
	load = harness_start("standin-load", args);
	harness_sleep(2000);
	kill(path_vm[2], SIGTERM);
	harness_sleep(300);
	assert_int_equal(harness_end(path_vm[2], SIGTERM), 0);
	assert_int_equal(harness_wait(load), 0);
	path_vm[2] = fleet_vm(&path_vm2);
	assert_true(fleet_wait(BASE + 2, 1, 10000));
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
