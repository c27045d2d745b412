/* Relays between VMs of this build and of the build in service, which knows no
 * workspaces and forwards all headers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "workspaces.h"
#include <cmocka.h>
#include <signal.h>
#include <string.h>

#define OTHER_KEY KEY_MARK "-other"

static int setup(void **state)
{
	routes_setup(state);
	routes_is_production[ISOLATED_VM] = 1;
	isolated_start();
	workspaces_put_manifest(11, OTHER_KEY, 1);
	harness_sleep_ms(PROPAGATION_MS);
	return 0;
}

static void replace_vm(int n, int store_port, int is_production)
{
	kill(routes_vm_pid[n], SIGTERM);
	assert_int_equal(harness_wait(routes_vm_pid[n]), 0);
	routes_is_production[n] = is_production;
	routes_start_vm_with_store(n, store_port);
}

/* The other VM judges the key that comes, and no name. */
static void test_relay_of_an_earlier_build_chooses_its_name(void **state)
{
	static const char *const forged[] = {
		"X-Tenant-Name: acme", "Relay-Attempts: 2; workspace", NULL};
	static const char *const keyed[] = {"Api-Key: " KEY_OF_BIRCH,
					    "X-Tenant-Name: acme", NULL};
	int64_t before;
	struct http_response resp;

	(void)state;
	isolated_cut();
	resp = workspaces_request_with_key(ISOLATED_VM, KEY_OF_ACME);
	workspaces_expect_name(&resp, "acme");
	resp = workspaces_request(HTTP_PORT(ISOLATED_VM), "/keyed/fields",
				  keyed);
	workspaces_expect_name(&resp, "birch");
	before = routes_runs_of_s();
	resp = workspaces_request(HTTP_PORT(ISOLATED_VM), "/keyed/plain",
				  forged);
	assert_int_not_equal(resp.status, 200);
	assert_string_equal(resp.outcome, "not-run");
	assert_int_equal(routes_runs_of_s(), before);
	isolated_set_link("pass");
}

/* The build in service forwards the name, and gets no key to forward. */
static void test_relay_to_an_earlier_build_has_a_key(void **state)
{
	struct http_response resp;

	(void)state;
	replace_vm(ISOLATED_VM, ISOLATED_STORE_PORT, 0);
	replace_vm(1, STORE_PORT, 1);
	replace_vm(2, STORE_PORT, 1);
	harness_sleep_ms(PROPAGATION_MS);
	isolated_cut();
	resp = workspaces_request_with_key(ISOLATED_VM, KEY_OF_ACME);
	workspaces_expect_name(&resp, "acme");
	isolated_set_link("pass");
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_relay_of_an_earlier_build_chooses_its_name),
		cmocka_unit_test(test_relay_to_an_earlier_build_has_a_key),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, setup, routes_teardown);
}
