/* Crowds that send many requests ahead on each connection and read no answer,
 * at each door: the VM stays within its memory, and ordinary requests are
 * served. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "crowd.h"
#include <cmocka.h>
#include <glib.h>

/* Connections of a crowd. */
#define CROWD 96

/* Bytes of requests that each connection sends at most. */
#define AHEAD_BYTES (2 << 20)

/* Bytes of the body of a request that has one. */
#define BODY_BYTES 300

static void add_request(GString *text, enum crowd_door door, size_t body_bytes)
{
	g_string_append_printf(
		text, "%s %s HTTP/1.1\r\n%s", body_bytes ? "POST" : "GET",
		crowd_path(door, body_bytes ? "/once/plain" : "/safe/plain"),
		crowd_headers(door));
	if (body_bytes)
		g_string_append_printf(text, "Content-Length: %zu\r\n",
				       body_bytes);
	g_string_append(text, "\r\n");
	for (size_t i = 0; i < body_bytes; i++)
		g_string_append_c(text, 'b');
}

static void expect_harmless(const char *kind, enum crowd_door door,
			    size_t body_bytes)
{
	GString *text = g_string_new(NULL);
	struct crowd c;

	while (text->len < AHEAD_BYTES)
		add_request(text, door, body_bytes);
	crowd_restart_vm();
	crowd_open(&c, door, CROWD);
	crowd_send(&c, text->str, text->len);
	g_string_free(text, TRUE);
	crowd_expect_harmless(&c, kind, door);
}

static void test_requests_sent_ahead_at_routes(void **state)
{
	(void)state;
	expect_harmless("requests ahead", DOOR_ROUTE, 0);
	expect_harmless("requests ahead", DOOR_RELAY, 0);
}

static void test_requests_sent_ahead_without_a_route(void **state)
{
	(void)state;
	expect_harmless("requests ahead", DOOR_NO_ROUTE, 0);
}

static void test_requests_sent_ahead_at_the_ready_address(void **state)
{
	(void)state;
	expect_harmless("requests ahead", DOOR_READY, 0);
}

static void test_requests_sent_ahead_at_the_look_up_address(void **state)
{
	(void)state;
	expect_harmless("requests ahead", DOOR_LOOKUP, 0);
}

static void test_requests_sent_ahead_at_the_metrics_address(void **state)
{
	(void)state;
	expect_harmless("requests ahead", DOOR_METRICS, 0);
}

static void test_bodies_sent_ahead(void **state)
{
	(void)state;
	for (enum crowd_door door = 0; door < DOOR_COUNT; door++)
		expect_harmless("bodies ahead", door, BODY_BYTES);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_requests_sent_ahead_at_routes),
		cmocka_unit_test(test_requests_sent_ahead_without_a_route),
		cmocka_unit_test(test_requests_sent_ahead_at_the_ready_address),
		cmocka_unit_test(
			test_requests_sent_ahead_at_the_look_up_address),
		cmocka_unit_test(
			test_requests_sent_ahead_at_the_metrics_address),
		cmocka_unit_test(test_bodies_sent_ahead),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, crowd_setup, routes_teardown);
}
