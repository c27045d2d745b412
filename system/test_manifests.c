/* Manifests of all sizes that the store takes: each VM has a version in force
 * in time, whatever the number and the length of its parts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "routes.h"
#include <cmocka.h>
#include <glib.h>
#include <primroselead/clock.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VMS 2

/* Longest value that the users' store takes. */
#define VALUE_MAX_BYTES 1048576

static int version = 10;

/* A manifest whose route /once/ leads to the service "s", or to "t"; "more" has
 * further routes and services, each ended by a comma. */
static void put_manifest(const char *once, const char *routes,
			 const char *services)
{
	char *text = g_strdup_printf(
		"{\"version\":%d,\"routes\":{%s"
		"\"once\":{\"host\":\"h.example\",\"path_prefix\":\"/once/\","
		"\"kind\":\"unsafe\",\"timeout_ms\":1500,\"service\":\"%s\","
		"\"max_attempts\":2}},"
		"\"services\":{%s\"s\":{\"max_connections\":100,"
		"\"health_check_path\":\"/health\"},"
		"\"t\":{\"max_connections\":100}},"
		"\"limits\":{\"max_header_bytes\":16384}}",
		++version, routes, once, services);

	if (strlen(text) > VALUE_MAX_BYTES)
		fail_msg("the manifest has %zu bytes", strlen(text));
	routes_put_object("config/main", text);
	g_free(text);
}

static struct http_response get(int n, const char *host, const char *path)
{
	char *url =
		g_strdup_printf("http://127.0.0.1:%d%s", HTTP_PORT(n), path);
	const char *headers[] = {"X-Deadline-Remaining-Ms: 2000",
				 "X-Request-Id: m1", NULL};
	struct http_response resp = harness_send_request(&(struct http_request){
		.url = url, .host = host, .headers = headers});

	g_free(url);
	return resp;
}

/* Whether a request is served by the service "s" or "t"; i-3 alone is of "t".
 */
static int is_served_by(int n, const char *host, const char *path,
			const char *service)
{
	struct http_response resp = get(n, host, path);
	int by_t = strstr(resp.body, " at i-3") != NULL;

	return resp.status == 200 && by_t == !strcmp(service, "t");
}

/* Waits until all VMs serve /once/ by the service. */
static void expect_in_force(const char *service, const char *what)
{
	int64_t until = prl_now_ms() + PROPAGATION_MS;

	for (int n = 1; n <= VMS; n++)
		while (!is_served_by(n, "h.example", "/once/echo", service)) {
			if (prl_now_ms() > until)
				fail_msg("%s: VM %d goes by an older version",
					 what, n);
			harness_sleep_ms(20);
		}
}

static void expect_route(const char *host, const char *path,
			 const char *service, const char *what)
{
	for (int n = 1; n <= VMS; n++)
		if (!is_served_by(n, host, path, service))
			fail_msg("%s: %.40s at VM %d is not served by %s: %d",
				 what, path, n, service,
				 get(n, host, path).status);
}

/* Puts a manifest with the parts in force, and the next one without them. */
static void try_manifest(const char *routes, const char *services,
			 const char *what)
{
	static int turn;

	put_manifest(turn % 2 ? "s" : "t", routes, services);
	expect_in_force(turn % 2 ? "s" : "t", what);
	turn++;
}

static char *repeated(char c, int n)
{
	char *text = g_malloc((gsize)n + 1);

	memset(text, c, (size_t)n);
	text[n] = 0;
	return text;
}

#define ROUTE_TAIL "\"kind\":\"safe\",\"timeout_ms\":1500,\"max_attempts\":2,"

/* A version with a route split over nine services was in force nowhere. */
static void test_split_over_many_services(void **state)
{
	static const int counts[] = {7, 8, 9, 16, 17, 100, 1000};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		GString *routes = g_string_new(
			"\"m\":{\"host\":\"h.example\",\"path_prefix\":\"/m/"
			"\"," ROUTE_TAIL "\"traffic_split\":[");
		GString *services = g_string_new("");
		char *what = g_strdup_printf("%d parts", counts[i]);

		for (int k = 0; k < counts[i] - 1; k++) {
			g_string_append_printf(
				routes, "{\"service\":\"p%d\",\"weight\":0},",
				k);
			g_string_append_printf(services, "\"p%d\":{},", k);
		}
		g_string_append(routes, "{\"service\":\"t\",\"weight\":5}]},");
		try_manifest(routes->str, services->str, what);
		expect_route("h.example", "/m/echo", "t", what);
		g_string_free(routes, TRUE);
		g_string_free(services, TRUE);
		g_free(what);
	}
}

/* Weights may have fractions; the parts keep their shares. */
static void test_weights_below_one(void **state)
{
	int at_t = 0;

	(void)state;
	try_manifest("\"m\":{\"host\":\"h.example\",\"path_prefix\":\"/m/"
		     "\"," ROUTE_TAIL "\"traffic_split\":["
		     "{\"service\":\"s\",\"weight\":0.75},"
		     "{\"service\":\"t\",\"weight\":0.25}]},",
		     "", "fractions");
	for (int i = 0; i < 40; i++)
		at_t += is_served_by(1, "h.example", "/m/echo", "t");
	assert_int_equal(at_t, 10);
}

static void test_long_texts(void **state)
{
	static const int lengths[] = {63,  64,	127, 128, 150,
				      253, 255, 256, 300, 4000};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++) {
		char *text = repeated('x', lengths[i]);
		char *what = g_strdup_printf("length %d", lengths[i]);
		char *path = g_strdup_printf("/%s/echo", text);
		char *routes = g_strdup_printf("\"%s\":{\"host\":\"%s\",\"path_"
					       "prefix\":\"/%s/\"," ROUTE_TAIL
					       "\"service\":\"t\"},",
					       text, text, text);
		char *services = g_strdup_printf(
			"\"a\":{\"health_check_path\":\"/%s\"},", text);

		try_manifest(routes, services, what);
		expect_route(text, path, "t", what);
		g_free(services);
		g_free(routes);
		g_free(path);
		g_free(what);
		g_free(text);
	}
}

/* A service whose name is too long is left out, and said so; the rest is in
 * force. */
static void test_long_names_of_services(void **state)
{
	static const int lengths[] = {63, 64, 200, 255, 256, 1000};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++) {
		int is_held = lengths[i] < 256;
		char *name = repeated('n', lengths[i]);
		char *what =
			g_strdup_printf("service's name of %d", lengths[i]);
		char *services = g_strdup_printf("\"%s\":{},", name);
		char *routes = g_strdup_printf(
			"\"m\":{\"host\":\"h.example\",\"path_prefix\":\"/m/"
			"\"," ROUTE_TAIL "\"service\":\"%s\"},",
			name);

		routes_put_upstream("i-3", name, UPSTREAM_PORT(3), "ready",
				    100 + 2 * (int)i);
		put_manifest("s", routes, services);
		expect_in_force("s", what);
		for (int n = 1; n <= VMS && is_held; n++) {
			int64_t until = prl_now_ms() + PROPAGATION_MS;

			while (!is_served_by(n, "h.example", "/m/echo", "t"))
				if (prl_now_ms() > until)
					fail_msg("%s: not served", what);
		}
		for (int n = 1; n <= VMS; n++)
			assert_int_equal(harness_metric(METRICS_PORT(n),
							"manifest_left_out"),
					 !is_held);
		routes_put_upstream("i-3", "t", UPSTREAM_PORT(3), "ready",
				    101 + 2 * (int)i);
		put_manifest("t", "", "");
		expect_in_force("t", what);
		g_free(routes);
		g_free(services);
		g_free(what);
		g_free(name);
	}
}

static void test_many_home_regions(void **state)
{
	static const int counts[] = {15, 16, 17, 32, 33, 500};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		GString *routes =
			g_string_new("\"m\":{\"host\":\"h.example\",\"path_"
				     "prefix\":\"/m/\"," ROUTE_TAIL
				     "\"service\":\"t\",\"home_regions\":[");
		char *what = g_strdup_printf("%d home regions", counts[i]);

		for (int k = 0; k < counts[i] - 1; k++)
			g_string_append_printf(routes, "\"region-%d\",", k);
		g_string_append(routes, "\"norte\"]},");
		try_manifest(routes->str, "", what);
		expect_route("h.example", "/m/echo", "t", what);
		g_string_free(routes, TRUE);
		g_free(what);
	}
}

/* A route whose home regions no VM knows is served nowhere, not everywhere. */
static void test_unknown_home_regions(void **state)
{
	char *name = repeated('r', 100);
	char *routes = g_strdup_printf(
		"\"m\":{\"host\":\"h.example\",\"path_prefix\":\"/m/"
		"\"," ROUTE_TAIL "\"service\":\"t\",\"home_regions\":[\"%s\","
		"\"nowhere\"]},",
		name);

	(void)state;
	try_manifest(routes, "", "unknown home regions");
	assert_int_equal(get(1, "h.example", "/m/echo").status, 503);
	g_free(routes);
	g_free(name);
}

/* Routes and services in such numbers that the manifest is nearly as long as a
 * value may be. */
static void test_many_routes_and_services(void **state)
{
	static const int counts[] = {300, 2000, 6000};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		GString *routes = g_string_new("");
		GString *services = g_string_new("");
		char *what = g_strdup_printf("%d routes", counts[i]);
		char path[64];

		for (int k = 0; k < counts[i]; k++) {
			g_string_append_printf(
				routes,
				"\"r%d\":{\"host\":\"h.example\","
				"\"path_prefix\":\"/r%d/\"," ROUTE_TAIL
				"\"service\":\"t\"},",
				k, k);
			g_string_append_printf(services, "\"v%d\":{},", k);
		}
		try_manifest(routes->str, services->str, what);
		snprintf(path, sizeof(path), "/r%d/echo", counts[i] - 1);
		expect_route("h.example", path, "t", what);
		g_string_free(routes, TRUE);
		g_string_free(services, TRUE);
		g_free(what);
	}
}

/* More names of routes, version after version, than there are indexes for:
 * splits keep their shares. */
static void test_new_names_in_each_version(void **state)
{
	int at_t = 0;

	(void)state;
	for (int v = 0; v < 12; v++) {
		GString *routes = g_string_new("");

		for (int k = 0; k < 1500; k++)
			g_string_append_printf(
				routes,
				"\"v%d-%d\":{\"host\":\"idle.example\","
				"\"path_prefix\":\"/%d/\"," ROUTE_TAIL
				"\"service\":\"t\"},",
				v, k, k);
		g_string_append_printf(routes,
				       "\"m%d\":{\"host\":\"h.example\","
				       "\"path_prefix\":\"/m/\"," ROUTE_TAIL
				       "\"traffic_split\":[",
				       v);
		for (int k = 0; k < 7; k++)
			g_string_append(routes, "{\"service\":\"s\","
						"\"weight\":1},");
		g_string_append(routes, "{\"service\":\"t\",\"weight\":1}]},");
		try_manifest(routes->str, "", "new names");
		g_string_free(routes, TRUE);
	}
	for (int i = 0; i < 40; i++)
		at_t += is_served_by(1, "h.example", "/m/echo", "t");
	assert_int_equal(at_t, 5);
}

/* A version that can't be read leaves the last one in force, and is counted. */
static void test_unreadable_version(void **state)
{
	char url[80];

	(void)state;
	put_manifest("t", "", "");
	expect_in_force("t", "before");
	routes_put_object("config/main", "{\"version\":1000000,\"routes\":"
					 "{\"x\":{\"host\":7}}}");
	harness_sleep_ms(PROPAGATION_MS);
	for (int n = 1; n <= VMS; n++) {
		assert_true(is_served_by(n, "h.example", "/once/echo", "t"));
		assert_true(harness_metric(METRICS_PORT(n),
					   "manifests_refused") > 0);
		snprintf(url, sizeof(url), "http://127.0.0.1:%d/-/status",
			 METRICS_PORT(n));
		assert_true(fleet_wait_text(url, "route \\\"x\\\" is not valid",
					    2000));
	}
	put_manifest("s", "", "");
	expect_in_force("s", "after");
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_split_over_many_services),
		cmocka_unit_test(test_weights_below_one),
		cmocka_unit_test(test_long_texts),
		cmocka_unit_test(test_many_home_regions),
		cmocka_unit_test(test_unknown_home_regions),
		cmocka_unit_test(test_many_routes_and_services),
		cmocka_unit_test(test_new_names_in_each_version),
		cmocka_unit_test(test_unreadable_version),
		cmocka_unit_test(test_long_names_of_services),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, routes_setup, routes_teardown);
}
