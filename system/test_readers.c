/* A fleet of which one VM reads the store for all: how much it asks the store,
 * and changes while that VM dies or stands still. */
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

/* VMs of the fleet: a reader, two standbys and followers. */
#define VMS 6

/* Time in which the VMs find each other and leave reading to one, in ms. */
#define SETTLE_MS 4000

static int64_t watches(int n)
{
	return harness_metric(METRICS_PORT(n), "store_watches");
}

static int setup(void **state)
{
	routes_readers = 1;
	routes_setup(state);
	for (int n = 3; n <= VMS; n++)
		routes_start_vm(n);
	harness_sleep_ms(SETTLE_MS);
	return 0;
}

/* Watches of the whole fleet within a time; "reader" is the VM that made most
 * of them. */
static int64_t count_watches(int ms, int *reader)
{
	int64_t before[VMS + 1];
	int64_t most = -1;
	int64_t sum = 0;

	for (int n = 1; n <= VMS; n++)
		before[n] = watches(n);
	harness_sleep_ms(ms);
	for (int n = 1; n <= VMS; n++) {
		int64_t made = watches(n) - before[n];

		sum += made;
		if (made > most) {
			most = made;
			*reader = n;
		}
	}
	return sum;
}

/* Waits until a VM serves the route /safe/ by an upstream of the service that a
 * new manifest names. Returns 1, or 0 after timeout_ms. */
static int wait_for_service(int n, int port, int timeout_ms)
{
	int64_t end = prl_now_ms() + timeout_ms;

	while (prl_now_ms() < end) {
		int64_t before =
			routes_upstream_stat(UPSTREAM_PORT(port), "ran");

		routes_request_at(n, "GET", "/safe/plain");
		if (routes_upstream_stat(UPSTREAM_PORT(port), "ran") > before)
			return 1;
		harness_sleep_ms(20);
	}
	return 0;
}

/* All VMs but one follow a change within the time in which all must. */
static void expect_change_everywhere(int except, int64_t changed_ms)
{
	for (int n = 1; n <= VMS; n++) {
		int64_t left = changed_ms + PROPAGATION_MS - prl_now_ms();

		if (n != except)
			assert_true(wait_for_service(n, 3,
						     left > 0 ? (int)left : 1));
	}
}

/* Three watches, each answered after 1.5 s, are 6 in 3 s; if all VMs read, they
 * make 36. */
static void test_one_vm_reads(void **state)
{
	int reader = 0;

	(void)state;
	assert_in_range(count_watches(3000, &reader), 3, 12);
}

static void test_change_reaches_all(void **state)
{
	int64_t changed_ms;

	(void)state;
	routes_put_manifest(10, "t");
	changed_ms = prl_now_ms();
	expect_change_everywhere(0, changed_ms);
	routes_put_manifest(11, "s");
	harness_sleep_ms(PROPAGATION_MS);
}

/* The reader stands still as a change is made: the others read it themselves.
 * When it goes on, it follows. */
static void test_change_while_the_reader_stands_still(void **state)
{
	int64_t changed_ms;
	int reader = 0;

	(void)state;
	count_watches(1500, &reader);
	kill(routes_vm_pid[reader], SIGSTOP);
	routes_put_manifest(12, "t");
	changed_ms = prl_now_ms();
	expect_change_everywhere(reader, changed_ms);
	kill(routes_vm_pid[reader], SIGCONT);
	assert_true(wait_for_service(reader, 3, PROPAGATION_MS));
	routes_put_manifest(13, "s");
	harness_sleep_ms(SETTLE_MS);
}

static void test_change_as_the_reader_dies(void **state)
{
	int64_t changed_ms;
	int reader = 0;

	(void)state;
	count_watches(1500, &reader);
	assert_int_equal(harness_kill(routes_vm_pid[reader], SIGKILL),
			 -SIGKILL);
	routes_put_manifest(14, "t");
	changed_ms = prl_now_ms();
	expect_change_everywhere(reader, changed_ms);
	harness_sleep_ms(SETTLE_MS);
	routes_start_vm(reader);
	assert_true(wait_for_service(reader, 3, PROPAGATION_MS));
}

/* While the store is silent all VMs ask it; afterwards one does again. */
static void test_one_vm_reads_again_after_an_outage(void **state)
{
	int reader = 0;

	(void)state;
	routes_set_store_faults("down_ms=3000");
	harness_sleep_ms(3000 + SETTLE_MS);
	assert_in_range(count_watches(3000, &reader), 3, 12);
}

static int run_status(char *out, size_t size, int port)
{
	char vm[64];

	snprintf(vm, sizeof(vm), "--vm=127.0.0.1:%d", port);
	return harness_run(out, size, "primroselead", "status", vm, NULL);
}

/* The status names each VM's part in reading; a page that is not the status of
 * a VM is an error, not an empty status. */
static void test_status(void **state)
{
	static char out[16384];

	(void)state;
	assert_int_equal(run_status(out, sizeof(out), METRICS_PORT(1)), 0);
	assert_non_null(strstr(out, "vm1          live"));
	assert_non_null(strstr(out, " copy "));
	assert_int_equal(run_status(out, sizeof(out), UPSTREAM_PORT(1)), 10);
	assert_non_null(strstr(out, "is not JSON"));
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_vm_reads),
		cmocka_unit_test(test_change_reaches_all),
		cmocka_unit_test(test_change_while_the_reader_stands_still),
		cmocka_unit_test(test_change_as_the_reader_dies),
		cmocka_unit_test(test_one_vm_reads_again_after_an_outage),
		cmocka_unit_test(test_status),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, setup, routes_teardown);
}
