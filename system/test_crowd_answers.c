/* More callers that read long answers slowly than a VM has memory for, if each
 * held all that one may hold: the VM stays within its memory. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "crowd.h"
#include <cmocka.h>
#include <glib.h>

/* Upstreams beside those of the fixture, and the slots of each, so that all of
 * the crowd have a place. */
#define MORE_UPSTREAMS 3
#define FIRST_UPSTREAM 4
#define SLOTS 50

/* Bytes that each caller reads at a time, the times, and between two, in ms. */
#define READ_BYTES 16
#define READS 20
#define READ_EVERY_MS 50

static int setup(void **state)
{
	char name[16];

	if (crowd_setup(state))
		return -1;
	routes_put_slots("i-1", "s", UPSTREAM_PORT(1), SLOTS, 9);
	routes_put_slots("i-2", "s", UPSTREAM_PORT(2), SLOTS, 9);
	for (int i = FIRST_UPSTREAM; i < FIRST_UPSTREAM + MORE_UPSTREAMS; i++) {
		g_snprintf(name, sizeof(name), "i-%d", i);
		routes_start_upstream(name, UPSTREAM_PORT(i));
		routes_put_slots(name, "s", UPSTREAM_PORT(i), SLOTS, 1);
	}
	return 0;
}

static void read_slowly(enum crowd_door door)
{
	GString *text = g_string_new(NULL);
	struct crowd c;

	g_string_append_printf(text, "GET %s HTTP/1.1\r\n%s\r\n",
			       crowd_path(door, "/up/long"),
			       crowd_headers(door));
	crowd_restart_vm();
	crowd_open(&c, door, CROWD_MAX);
	crowd_send_some(&c, text->str, text->len);
	g_string_free(text, TRUE);
	for (int i = 0; i < READS; i++) {
		crowd_read_some(&c, READ_BYTES);
		harness_sleep_ms(READ_EVERY_MS);
	}
	crowd_expect_bounds("long answers read slowly", door);
	crowd_close(&c);
	crowd_expect_served_after("long answers read slowly", door);
}

static void test_answers_stay_within_memory(void **state)
{
	(void)state;
	read_slowly(DOOR_ROUTE);
	read_slowly(DOOR_RELAY);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answers_stay_within_memory),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, setup, routes_teardown);
}
