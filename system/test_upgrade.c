/* An upgrade from the build in service to this one, VM by VM, and back, under
 * load: changes reach the VMs of both builds, and callers that leave a VM
 * before it stops see no failure. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "routes.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>

#define VMS 4

/* Time in which callers leave a VM that is about to stop, in ms. */
#define LEAVE_MS 300

/* Callers go to the VMs that are not about to stop. */
static struct {
	pthread_t thread;
	_Atomic int open[VMS + 1];
	_Atomic int stopped;
	_Atomic int sent;
	_Atomic int failed;
} load;

static int request_at(int n, int serial)
{
	char id[64];
	char url[80];
	const char *headers[] = {id, "X-Deadline-Remaining-Ms: 4000", NULL};
	struct http_request req = {
		.url = url, .host = "h.example", .headers = headers};

	snprintf(id, sizeof(id), "X-Request-Id: load%d", serial);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/safe/plain",
		 HTTP_PORT(n));
	return harness_send_request(&req).status;
}

static void *send_requests(void *ctx)
{
	(void)ctx;
	for (int i = 0; !atomic_load(&load.stopped); i++) {
		int n = 1 + i % VMS;
		int status;

		if (!atomic_load(&load.open[n]))
			continue;
		status = request_at(n, i);
		atomic_fetch_add(&load.sent, 1);
		if (status != 200) {
			atomic_fetch_add(&load.failed, 1);
			print_message("VM %d answered %d\n", n, status);
		}
		harness_sleep_ms(2);
	}
	return NULL;
}

static int setup(void **state)
{
	for (int n = 1; n <= VMS; n++)
		routes_is_production[n] = 1;
	routes_setup(state);
	for (int n = 3; n <= VMS; n++)
		routes_start_vm(n);
	for (int n = 1; n <= VMS; n++)
		atomic_store(&load.open[n], 1);
	pthread_create(&load.thread, NULL, send_requests, NULL);
	return 0;
}

static int teardown(void **state)
{
	atomic_store(&load.stopped, 1);
	pthread_join(load.thread, NULL);
	return routes_teardown(state);
}

static void start_build(int n, int production)
{
	routes_is_production[n] = production;
	routes_start_vm(n);
	atomic_store(&load.open[n], 1);
}

/* Stops a VM as planned, and starts it from the other build. */
static void replace_vm(int n, int production)
{
	atomic_store(&load.open[n], 0);
	harness_sleep_ms(LEAVE_MS);
	assert_int_equal(harness_kill(routes_vm_pid[n], SIGTERM), 0);
	start_build(n, production);
}

/* Sends a request while no other is at the VM: service "t" accepts one
 * connection of each. */
static int request_alone_at(int n, int serial)
{
	int status;

	atomic_store(&load.open[n], 0);
	harness_sleep_ms(LEAVE_MS);
	status = request_at(n, serial);
	atomic_store(&load.open[n], 1);
	return status;
}

/* All VMs serve the route by the service that a new manifest names, in the time
 * in which changes must be in force. */
static void expect_change(int version, const char *service)
{
	int64_t before;

	routes_put_manifest(version, service);
	harness_sleep_ms(PROPAGATION_MS);
	before = routes_runs_of_s();
	for (int n = 1; n <= VMS; n++)
		assert_int_equal(request_alone_at(n, version * 100000 + n),
				 200);
	if (service[0] == 't')
		assert_int_equal(routes_runs_of_s(), before);
	else
		assert_true(routes_runs_of_s() >= before + VMS);
}

static void expect_no_failure(void)
{
	assert_true(atomic_load(&load.sent) > 100);
	assert_int_equal(atomic_load(&load.failed), 0);
}

static void test_half_of_the_fleet(void **state)
{
	(void)state;
	expect_change(20, "t");
	replace_vm(1, 0);
	replace_vm(2, 0);
	expect_change(21, "s");
	expect_change(22, "t");
	expect_no_failure();
}

static void test_outage_of_the_store(void **state)
{
	(void)state;
	routes_set_store_faults("down_ms=3000");
	harness_sleep_ms(4000);
	expect_change(23, "s");
	expect_no_failure();
}

/* Callers of the VM that is killed go elsewhere first, as after a look-up that
 * no longer names it. */
static void test_old_vm_is_killed(void **state)
{
	(void)state;
	atomic_store(&load.open[4], 0);
	harness_sleep_ms(LEAVE_MS);
	assert_int_equal(harness_kill(routes_vm_pid[4], SIGKILL), -SIGKILL);
	start_build(4, 1);
	expect_change(24, "t");
	expect_no_failure();
}

static void test_all_of_the_fleet(void **state)
{
	(void)state;
	replace_vm(3, 0);
	replace_vm(4, 0);
	expect_change(25, "s");
	expect_no_failure();
}

static void test_back_to_the_old_build(void **state)
{
	(void)state;
	replace_vm(1, 1);
	replace_vm(2, 1);
	replace_vm(3, 1);
	expect_change(26, "t");
	replace_vm(4, 1);
	expect_change(27, "s");
	expect_no_failure();
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_half_of_the_fleet),
		cmocka_unit_test(test_outage_of_the_store),
		cmocka_unit_test(test_old_vm_is_killed),
		cmocka_unit_test(test_all_of_the_fleet),
		cmocka_unit_test(test_back_to_the_old_build),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, setup, teardown);
}
