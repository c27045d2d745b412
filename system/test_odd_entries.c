/* One odd entry among those of the upstreams: the VMs go on following the list,
 * those that read it from the store and those that get it from them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "routes.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VMS 3

/* The route /safe/ leads to service "s" and "t" in turn. */
static int version = 3;

/* Sequence of the entry of service "t". */
static int sequence = 1;

static void put_raw(const char *name, const char *value)
{
	char url[600];
	struct http_request req = {.method = "PUT", .url = url, .body = value};

	snprintf(url, sizeof(url),
		 "http://127.0.0.1:%d/admin/objects/servers/%s?raw=1",
		 STORE_PORT, name);
	assert_int_equal(harness_send_request(&req).status, 200);
}

static void remove_entry(const char *name)
{
	char key[400];

	snprintf(key, sizeof(key), "servers/%s", name);
	routes_put_object(key, "");
}

/* Number of VMs at which the route is served by the instance. */
static int count_served_by(const char *instance)
{
	char url[100];
	char id[64];
	const char *headers[] = {id, "X-Deadline-Remaining-Ms: 2000", NULL};
	struct http_request req = {
		.url = url, .host = "h.example", .headers = headers};
	static int serial;
	int count = 0;

	for (int n = 1; n <= VMS; n++) {
		struct http_response resp;

		snprintf(id, sizeof(id), "X-Request-Id: o%d", ++serial);
		snprintf(url, sizeof(url), "http://127.0.0.1:%d/safe/echo",
			 HTTP_PORT(n));
		resp = harness_send_request(&req);
		count += resp.status == 200 && strstr(resp.body, instance);
	}
	return count;
}

static void expect_count(const char *instance, int count, const char *what)
{
	int64_t until = prl_now_ms() + PROPAGATION_MS;
	int served;

	do {
		harness_sleep_ms(20);
		served = count_served_by(instance);
	} while (served != count && prl_now_ms() < until);
	if (served != count)
		fail_msg("%s: %d of %d VMs use %s, not %d", what, served, VMS,
			 instance, count);
}

/* All VMs use an upstream that comes, of service "t", and none that has gone.
 */
static void expect_followed(const char *what)
{
	routes_put_upstream("i-3", "t", UPSTREAM_PORT(3), "ready", ++sequence);
	routes_put_manifest(++version, "t");
	expect_count("i-3", VMS, what);
	remove_entry("i-3");
	expect_count("i-3", 0, what);
	routes_put_manifest(++version, "s");
	expect_count("i-", VMS, what);
}

static void expect_started(const char *what)
{
	harness_kill(routes_vm_pid[VMS], SIGKILL);
	routes_vm_pid[VMS] = routes_spawn_vm(VMS, STORE_PORT);
	if (!routes_wait_ready(VMS, 5000))
		fail_msg("%s: a VM that starts gets no list", what);
}

static void try_entry(const char *name, const char *value, const char *what)
{
	put_raw(name, value);
	expect_followed(what);
	expect_started(what);
	expect_followed(what);
	remove_entry(name);
	for (int n = 1; n <= VMS; n++)
		assert_int_equal(kill(routes_vm_pid[n], 0), 0);
}

static char *nested(int depth)
{
	char *text = malloc((size_t)depth * 2 + 1);

	memset(text, '[', (size_t)depth);
	memset(text + depth, ']', (size_t)depth);
	text[2 * depth] = 0;
	return text;
}

static void test_vms_do_not_follow_beside_a_nested_entry(void **state)
{
	static const int depths[] = {2043, 2044, 2045, 2046,
				     2047, 2048, 2049, 50000};
	char what[40];

	(void)state;
	for (size_t i = 0; i < sizeof(depths) / sizeof(depths[0]); i++) {
		char *value = nested(depths[i]);

		snprintf(what, sizeof(what), "depth %d", depths[i]);
		try_entry("odd", value, what);
		free(value);
	}
}

static void test_vms_do_not_follow_beside_an_odd_number(void **state)
{
	static const char *const numbers[] = {
		"9223372036854775807", "9223372036854775808", "1e308", "1e309"};
	char value[300];

	(void)state;
	for (size_t i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		snprintf(value, sizeof(value),
			 "{\"service\":\"t\",\"address\":\"127.0.0.1:9\","
			 "\"zone\":\"norte-a\",\"version\":\"v1\",\"slots\":%s,"
			 "\"state\":\"ready\",\"cold_remaining_ms\":0,"
			 "\"sequence\":1,\"born\":1700000000000}",
			 numbers[i]);
		try_entry("odd", value, numbers[i]);
	}
}

static void test_vms_use_an_odd_port(void **state)
{
	static const char *const ports[] = {"0", "65536", "4294967376", "+9"};
	char value[300];

	(void)state;
	for (size_t i = 0; i < sizeof(ports) / sizeof(ports[0]); i++) {
		snprintf(value, sizeof(value),
			 "{\"service\":\"t\",\"address\":\"127.0.0.1:%s\","
			 "\"zone\":\"norte-a\",\"version\":\"v1\",\"slots\":6,"
			 "\"state\":\"ready\",\"cold_remaining_ms\":0,"
			 "\"sequence\":1,\"born\":1700000000000}",
			 ports[i]);
		try_entry("odd", value, ports[i]);
	}
}

/* A JSON text of a length. */
static char *long_text(int len)
{
	char *text = malloc((size_t)len + 1);

	memset(text, 'x', (size_t)len);
	text[0] = '"';
	text[len - 1] = '"';
	text[len] = 0;
	return text;
}

static void test_vms_do_not_follow_beside_a_long_entry(void **state)
{
	static const int lengths[] = {16383, 16384, 16385,  49151,
				      49152, 49153, 100000, 1000000};
	char what[40];

	(void)state;
	for (size_t i = 0; i < sizeof(lengths) / sizeof(lengths[0]); i++) {
		char *value = long_text(lengths[i]);

		snprintf(what, sizeof(what), "length %d", lengths[i]);
		try_entry("odd", value, what);
		free(value);
	}
}

/* Without the store a VM gets the list from another one, in messages. */
static void test_vm_gets_no_list_from_others_beside_a_long_entry(void **state)
{
	static const int lengths[] = {49152, 49153, 100000};

	(void)state;
	for (size_t i = 0; i < sizeof(lengths) / sizeof(lengths[0]); i++) {
		char *value = long_text(lengths[i]);

		put_raw("odd", value);
		expect_followed("with the store");
		routes_set_store_faults("down_ms=60000");
		expect_started("without the store");
		expect_count("i-", VMS, "without the store");
		routes_set_store_faults("down_ms=0");
		remove_entry("odd");
		free(value);
	}
}

static void test_vms_do_not_follow_beside_a_long_name(void **state)
{
	static const int lengths[] = {63, 64, 150, 151, 152, 153, 250};
	char what[40];
	char name[300];

	(void)state;
	for (size_t i = 0; i < sizeof(lengths) / sizeof(lengths[0]); i++) {
		memset(name, 'n', (size_t)lengths[i]);
		name[lengths[i]] = 0;
		snprintf(what, sizeof(what), "name of %d", lengths[i]);
		try_entry(name, "{\"service\":\"t\"}", what);
	}
}

static int setup(void **state)
{
	/* One VM reads the store, and the others get the list from it. */
	routes_readers = 1;
	routes_setup(state);
	routes_start_vm(3);
	return 0;
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_vms_do_not_follow_beside_a_nested_entry),
		cmocka_unit_test(test_vms_do_not_follow_beside_an_odd_number),
		cmocka_unit_test(test_vms_use_an_odd_port),
		cmocka_unit_test(test_vms_do_not_follow_beside_a_long_entry),
		cmocka_unit_test(
			test_vm_gets_no_list_from_others_beside_a_long_entry),
		cmocka_unit_test(test_vms_do_not_follow_beside_a_long_name),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, setup, routes_teardown);
}
