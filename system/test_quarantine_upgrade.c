/* A request that ends upstreams in a fleet of two builds, of which the one in
 * service knows no quarantine. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "returning.h"
#include <cmocka.h>
#include <signal.h>

#define SENDINGS 6

static const struct returning_request crash = {.method = "GET",
					       .path = "/safe/builds"};

/* Sends only at VMs 1 and 2, which are of this build. */
static void test_new_builds_beside_an_old_one_send_more(void **state)
{
	int not_served;

	(void)state;
	returning_send_until_known(&crash);
	assert_in_range(returning_send_more(&crash, SENDINGS, &not_served), 0,
			RETURNING_EXTRA_MAX);
	assert_int_equal(not_served, 0);
}

/* What the old build sends meanwhile can't be helped; it goes on serving. */
static void test_old_build_beside_new_ones_does_not_serve(void **state)
{
	const struct returning_request other = {
		.method = "GET", .path = "/safe/plain", .is_harmless = 1};

	(void)state;
	returning_send(3, &crash);
	returning_wait(3000);
	for (int i = 0; i < SENDINGS; i++)
		assert_int_equal(returning_send(3, &other).status, 200);
}

static void test_replaced_build_sends_more(void **state)
{
	int before;

	(void)state;
	harness_kill(routes_vm_pid[3], SIGTERM);
	routes_is_production[3] = 0;
	routes_start_vm(3);
	before = returning_ends;
	for (int i = 0; i < SENDINGS; i++)
		assert_int_equal(returning_send(3, &crash).status, 503);
	returning_wait(500);
	assert_int_equal(returning_ends, before);
}

static int setup(void **state)
{
	routes_setup(state);
	routes_is_production[3] = 1;
	routes_start_vm(3);
	returning_start();
	return 0;
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_builds_beside_an_old_one_send_more),
		cmocka_unit_test(test_old_build_beside_new_ones_does_not_serve),
		cmocka_unit_test(test_replaced_build_sends_more),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, setup, routes_teardown);
}
