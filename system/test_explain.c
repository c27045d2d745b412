/* "primroselead explain", which reconstructs a request from log files. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "harness.h"
#include <cmocka.h>
#include <string.h>

static char out[16384];

/* Log of VM "a". One line follows a prefix, such as a log collector adds; the
 * last one is not JSON. */
static const char log_a[] =
	"{\"time\":1000,\"vm\":\"a\",\"event\":\"started\"}\n"
	"{\"time\":1100,\"vm\":\"a\",\"event\":\"manifest\",\"version\":\"3\"}"
	"\n"
	"{\"time\":4000,\"vm\":\"a\",\"event\":\"manifest\",\"version\":\"7\"}"
	"\n"
	"{\"time\":4500,\"vm\":\"a\",\"event\":\"store\",\"kind\":\"servers\","
	"\"state\":\"down\",\"confirmed_ms_ago\":\"1500\"}\n"
	"2026 {\"time\":5200,\"vm\":\"a\",\"event\":\"attempt\",\"id\":\"r1\","
	"\"upstream\":\"i-9\",\"result\":\"broken\",\"sent\":\"yes\"}\n"
	"{\"time\":5201,\"vm\":\"a\",\"event\":\"request\",\"id\":\"r1\","
	"\"upstream\":\"i-9\",\"status\":\"502\",\"ms\":\"201\"}\n"
	"{\"time\":5300,\"vm\":\"a\",\"event\":\"upstream\",\"instance\":\"i-"
	"9\","
	"\"state\":\"gone\"}\n"
	"{\"time\":5301,\"vm\":\"a\",\"event\":\"upstream\",\"instance\":\"i-"
	"8\","
	"\"state\":\"gone\"}\n"
	"no line of ours\n";

static const char log_b[] =
	"{\"time\":4700,\"vm\":\"b\",\"event\":\"store\",\"kind\":\"servers\","
	"\"state\":\"up\"}\n"
	"{\"time\":5000,\"vm\":\"b\",\"event\":\"request\",\"id\":\"r2\","
	"\"status\":\"200\",\"ms\":\"3\"}\n";

static int setup(void **state)
{
	(void)state;
	harness_write_file("a.log", log_a);
	harness_write_file("b.log", log_b);
	return 0;
}

static void test_a_failed_request(void **state)
{
	(void)state;
	assert_int_equal(harness_run(out, sizeof(out), "primroselead",
				     "explain", "r1", harness_path("b.log"),
				     harness_path("a.log"), NULL),
			 0);
	assert_non_null(strstr(out, "request r1 at a"));
	assert_non_null(strstr(out, "-1 ms  attempt"));
	assert_non_null(strstr(out, "sent=yes"));
	assert_non_null(strstr(out, "status=502"));
	assert_non_null(strstr(out, "-701 ms  store      kind=servers "
				    "state=down confirmed_ms_ago=1500"));
	assert_non_null(strstr(out, "version=7"));
	assert_non_null(strstr(out, "+99 ms  upstream   instance=i-9"));
	/* Superseded manifests and events of other upstreams, VMs and requests
	 * are left out. */
	assert_null(strstr(out, "version=3"));
	assert_null(strstr(out, "i-8"));
	assert_null(strstr(out, "state=up"));
	assert_null(strstr(out, "r2"));
}

static void test_unknown_requests_and_files(void **state)
{
	(void)state;
	assert_int_equal(harness_run(out, sizeof(out), "primroselead",
				     "explain", "r3", harness_path("a.log"),
				     NULL),
			 9);
	assert_non_null(strstr(out, "\"r3\" is in none of the logs"));
	assert_int_equal(harness_run(out, sizeof(out), "primroselead",
				     "explain", "r1", harness_path("c.log"),
				     NULL),
			 4);
	assert_non_null(strstr(out, "c.log\" can't be read"));
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_failed_request),
		cmocka_unit_test(test_unknown_requests_and_files),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, setup, NULL);
}
