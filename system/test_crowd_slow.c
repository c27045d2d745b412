/* Crowds that send or read very slowly, or stop half-way: the VM stays within
 * its memory, and ordinary requests are served beside them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "crowd.h"
#include <cmocka.h>
#include <glib.h>
#include <string.h>

/* Connections of a crowd. */
#define CROWD 96

/* Pieces that are sent or read slowly, and the time between two, in ms. */
#define PIECES 20
#define PIECE_MS 50

static GString *format_head(const char *method, enum crowd_door door,
			    const char *route, const char *last)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "%s %s HTTP/1.1\r\n%s%s", method,
			       crowd_path(door, route), crowd_headers(door),
			       last);
	return text;
}

/* Sends the text and then a byte at a time. */
static void send_slowly(const char *kind, enum crowd_door door, GString *text,
			const char *piece)
{
	struct crowd c;

	crowd_restart_vm();
	crowd_open(&c, door, CROWD);
	crowd_send_some(&c, text->str, text->len);
	g_string_free(text, TRUE);
	for (int i = 0; i < PIECES; i++) {
		crowd_send_some(&c, piece, strlen(piece));
		harness_sleep_ms(PIECE_MS);
	}
	crowd_expect_harmless(&c, kind, door);
}

static void test_slow_heads(void **state)
{
	(void)state;
	for (enum crowd_door door = 0; door < DOOR_COUNT; door++)
		send_slowly("slow heads", door,
			    format_head("GET", door, "/safe/plain", "Slow: "),
			    "s");
}

static void test_slow_bodies(void **state)
{
	(void)state;
	for (enum crowd_door door = 0; door < DOOR_COUNT; door++)
		send_slowly("slow bodies", door,
			    format_head("POST", door, "/up/plain",
					"Content-Length: 1000000\r\n\r\n"),
			    "s");
}

static void test_slow_chunks(void **state)
{
	(void)state;
	for (enum crowd_door door = 0; door < DOOR_COUNT; door++)
		send_slowly("slow chunks", door,
			    format_head("POST", door, "/up/plain",
					"Transfer-Encoding: chunked\r\n\r\n"),
			    "1\r\ns\r\n");
}

static void test_connections_that_send_nothing(void **state)
{
	(void)state;
	for (enum crowd_door door = 0; door < DOOR_COUNT; door++)
		send_slowly("nothing", door, g_string_new(NULL), "");
}

static void read_slowly(const char *kind, enum crowd_door door, size_t bytes)
{
	GString *text = format_head("GET", door, "/up/long", "\r\n");
	struct crowd c;

	crowd_restart_vm();
	crowd_open(&c, door, CROWD);
	crowd_send_some(&c, text->str, text->len);
	g_string_free(text, TRUE);
	for (int i = 0; i < PIECES; i++) {
		if (bytes)
			crowd_read_some(&c, bytes);
		harness_sleep_ms(PIECE_MS);
	}
	crowd_expect_harmless(&c, kind, door);
}

static void test_answers_that_are_not_read(void **state)
{
	(void)state;
	read_slowly("long answers not read", DOOR_ROUTE, 0);
	read_slowly("long answers not read", DOOR_RELAY, 0);
}

static void test_answers_that_are_read_slowly(void **state)
{
	(void)state;
	read_slowly("long answers read slowly", DOOR_ROUTE, 16);
	read_slowly("long answers read slowly", DOOR_RELAY, 16);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_heads),
		cmocka_unit_test(test_slow_bodies),
		cmocka_unit_test(test_slow_chunks),
		cmocka_unit_test(test_connections_that_send_nothing),
		cmocka_unit_test(test_answers_that_are_not_read),
		cmocka_unit_test(test_answers_that_are_read_slowly),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, crowd_setup, routes_teardown);
}
