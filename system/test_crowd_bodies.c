/* Crowds of requests whose bodies stop just short of their end, or are far too
 * long, at each door: the VM stays within its memory, and ordinary requests are
 * served also while the crowd stays. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "crowd.h"
#include <cmocka.h>
#include <glib.h>
#include <stdio.h>

/* Connections of a crowd. */
#define CROWD 96

#define SHORT_BYTES (20 << 10)
#define LONG_BYTES (1 << 20)
#define OVERLONG_BYTES (100 << 20)

/* Part of a body that is too long which is sent, in bytes. */
#define OVERLONG_SENT_BYTES (1 << 20)

static GString *begin(const char *method, enum crowd_door door,
		      const char *route)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "%s %s HTTP/1.1\r\n%s", method,
			       crowd_path(door, route), crowd_headers(door));
	return text;
}

static void add_bytes(GString *text, size_t n)
{
	for (size_t i = 0; i < n; i++)
		g_string_append_c(text, (char)('a' + i % 26));
}

static GString *with_length(enum crowd_door door, size_t bytes, size_t sent)
{
	GString *text = begin("POST", door, "/up/plain");

	g_string_append_printf(text, "Content-Length: %zu\r\n\r\n", bytes);
	add_bytes(text, sent);
	return text;
}

/* A body in chunks without the last one. */
static GString *in_chunks(enum crowd_door door, size_t bytes, size_t chunk)
{
	GString *text = begin("POST", door, "/up/plain");

	g_string_append(text, "Transfer-Encoding: chunked\r\n\r\n");
	for (size_t i = 0; i < bytes; i += chunk) {
		g_string_append_printf(text, "%zx\r\n", chunk);
		add_bytes(text, chunk);
		g_string_append(text, "\r\n");
	}
	return text;
}

static void expect_harmless(const char *kind, enum crowd_door door,
			    GString *text)
{
	struct crowd c;

	crowd_restart_vm();
	crowd_open(&c, door, CROWD);
	crowd_send(&c, text->str, text->len);
	g_string_free(text, TRUE);
	crowd_expect_harmless(&c, kind, door);
}

static void test_short_bodies_of_a_length(void **state)
{
	(void)state;
	for (enum crowd_door door = 0; door < DOOR_COUNT; door++)
		expect_harmless(
			"short bodies of a length", door,
			with_length(door, SHORT_BYTES, SHORT_BYTES - 1));
}

static void test_short_bodies_in_chunks(void **state)
{
	(void)state;
	for (enum crowd_door door = 0; door < DOOR_COUNT; door++)
		expect_harmless("short bodies in chunks", door,
				in_chunks(door, SHORT_BYTES, 1024));
}

static void test_bodies_in_chunks_of_a_byte(void **state)
{
	(void)state;
	for (enum crowd_door door = 0; door < DOOR_COUNT; door++)
		expect_harmless("bodies in chunks of a byte", door,
				in_chunks(door, SHORT_BYTES, 1));
}

static void test_long_bodies_of_a_length(void **state)
{
	(void)state;
	for (enum crowd_door door = 0; door < DOOR_COUNT; door++)
		expect_harmless("long bodies of a length", door,
				with_length(door, LONG_BYTES, LONG_BYTES - 1));
}

static void test_long_bodies_in_chunks(void **state)
{
	(void)state;
	for (enum crowd_door door = 0; door < DOOR_COUNT; door++)
		expect_harmless("long bodies in chunks", door,
				in_chunks(door, LONG_BYTES, 8192));
}

static void test_overlong_bodies(void **state)
{
	(void)state;
	for (enum crowd_door door = 0; door < DOOR_COUNT; door++)
		expect_harmless(
			"overlong bodies", door,
			with_length(door, OVERLONG_BYTES, OVERLONG_SENT_BYTES));
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_short_bodies_of_a_length),
		cmocka_unit_test(test_short_bodies_in_chunks),
		cmocka_unit_test(test_bodies_in_chunks_of_a_byte),
		cmocka_unit_test(test_long_bodies_of_a_length),
		cmocka_unit_test(test_long_bodies_in_chunks),
		cmocka_unit_test(test_overlong_bodies),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, crowd_setup, routes_teardown);
}
