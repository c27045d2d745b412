/* Crowds of requests of very many short fields, whose head or body stops before
 * its last byte, at each door: the VM stays within its memory, and ordinary
 * requests are served, those of such heads among them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "crowd.h"
#include <cmocka.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

/* Connections of a crowd. */
#define CROWD 96

/* Fields of a head, which is below the limit of 16 KB with them. */
#define FIELDS 1700

#define BODY_BYTES 1000

/* Tries of a complete request of such a head. */
#define TRIES 100

static GString *format_head(enum crowd_door door, int fields)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(
		text, "POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n",
		crowd_path(door, "/up/plain"), crowd_headers(door), BODY_BYTES);
	for (int i = 0; i < fields; i++)
		g_string_append(text, "a: 1\r\n");
	return text;
}

static void add_body(GString *text, int bytes)
{
	g_string_append(text, "\r\n");
	for (int i = 0; i < bytes; i++)
		g_string_append_c(text, 'b');
}

/* Sends a complete request of many fields. Returns the answer's status. */
static int send_complete(void)
{
	struct timeval wait = {.tv_sec = 5};
	char answer[100] = "";
	GString *text = format_head(DOOR_ROUTE, FIELDS);
	int fd = harness_connect(HTTP_PORT(1));

	assert_true(fd >= 0);
	add_body(text, BODY_BYTES);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	send(fd, text->str, text->len, MSG_NOSIGNAL);
	recv(fd, answer, sizeof(answer) - 1, MSG_WAITALL);
	close(fd);
	g_string_free(text, TRUE);
	return strncmp(answer, "HTTP/1.1 ", 9) ? 0 : atoi(answer + 9);
}

static void expect_large_head_served(const char *kind, enum crowd_door door)
{
	for (int i = 0; i < TRIES; i++) {
		if (send_complete() == 200)
			return;
		harness_sleep_ms(100);
	}
	fail_msg("%s at %s: a head of many fields is not served", kind,
		 crowd_door_name(door));
}

static void expect_harmless(const char *kind, enum crowd_door door,
			    GString *text)
{
	struct crowd c;

	crowd_restart_vm();
	crowd_open(&c, door, CROWD);
	crowd_send(&c, text->str, text->len);
	g_string_free(text, TRUE);
	crowd_expect_served_beside(kind, door);
	crowd_expect_bounds(kind, door);
	crowd_close(&c);
	expect_large_head_served(kind, door);
	crowd_expect_served_after(kind, door);
	crowd_expect_bounds(kind, door);
}

static void test_bodies_that_stop(void **state)
{
	(void)state;
	for (enum crowd_door door = 0; door < DOOR_COUNT; door++) {
		GString *text = format_head(door, FIELDS);

		add_body(text, BODY_BYTES - 1);
		expect_harmless("many fields, a body that stops", door, text);
	}
}

static void test_heads_that_stop(void **state)
{
	(void)state;
	for (enum crowd_door door = 0; door < DOOR_COUNT; door++)
		expect_harmless("many fields, a head that stops", door,
				format_head(door, FIELDS));
}

static void test_complete_requests(void **state)
{
	(void)state;
	for (enum crowd_door door = 0; door < DOOR_COUNT; door++) {
		GString *text = format_head(door, FIELDS);

		add_body(text, BODY_BYTES);
		expect_harmless("many fields, not read", door, text);
	}
}

static void test_heads_that_are_too_long(void **state)
{
	(void)state;
	for (enum crowd_door door = 0; door < DOOR_COUNT; door++)
		expect_harmless("far too many fields", door,
				format_head(door, 100 * FIELDS));
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bodies_that_stop),
		cmocka_unit_test(test_heads_that_stop),
		cmocka_unit_test(test_complete_requests),
		cmocka_unit_test(test_heads_that_are_too_long),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, crowd_setup, routes_teardown);
}
