#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "sockets.h"
#include <cmocka.h>
#include <sys/socket.h>
#include <unistd.h>

#define HASH 5

static struct proxy_sockets sockets;
/* Ends of a connection: the VM's, and the upstream's. */
static int fd[2];

static int setup(void **state)
{
	(void)state;
	if (socketpair(AF_UNIX, SOCK_STREAM, 0, fd) ||
	    sockets_add(&sockets, fd[0]))
		return -1;
	sockets_set_endpoints(&sockets, fd[0], HASH);
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	close(fd[0]);
	close(fd[1]);
	sockets_finish(&sockets);
	return 0;
}

static void test_quiet_connection_is_stale(void **state)
{
	(void)state;
	assert_false(sockets_is_stale(&sockets, HASH));
}

static void test_connection_with_bytes_is_fit(void **state)
{
	(void)state;
	assert_int_equal(write(fd[1], "x", 1), 1);
	assert_true(sockets_is_stale(&sockets, HASH));
}

static void test_connection_that_ended_is_fit(void **state)
{
	(void)state;
	shutdown(fd[1], SHUT_WR);
	assert_true(sockets_is_stale(&sockets, HASH));
}

/* Nothing is known of bytes that wait there. */
static void test_connection_that_is_not_known_is_fit(void **state)
{
	(void)state;
	assert_true(sockets_is_stale(&sockets, HASH + 1));
	sockets_remove(&sockets, fd[0]);
	assert_true(sockets_is_stale(&sockets, HASH));
}

/* An answer is remembered of its connection alone, until its request can't be
 * sent again. */
static void test_answers_are_remembered(void **state)
{
	(void)state;
	sockets_note_answer(&sockets, HASH, 7, 1000, 0);
	assert_true(sockets_has_answered(&sockets, HASH, 7, 1000));
	assert_false(sockets_has_answered(&sockets, HASH, 7, 1001));
	assert_false(sockets_has_answered(&sockets, HASH, 8, 0));
	assert_false(sockets_has_answered(&sockets, HASH + 1, 7, 0));
	sockets_remove(&sockets, fd[0]);
	assert_false(sockets_has_answered(&sockets, HASH, 7, 0));
}

/* A connection with more answers than are remembered is not reused; one whose
 * answers have expired is. */
static void test_connection_with_many_answers_is_unfit(void **state)
{
	(void)state;
	for (int64_t i = 0; i < 4 * SOCKET_ANSWERS_MAX; i++)
		sockets_note_answer(&sockets, HASH, 1, i, i + 1);
	assert_false(sockets_is_stale(&sockets, HASH));
	for (uint64_t i = 0; i < SOCKET_ANSWERS_MAX; i++)
		sockets_note_answer(&sockets, HASH, i, 2000, 1000);
	assert_false(sockets_is_stale(&sockets, HASH));
	sockets_note_answer(&sockets, HASH, SOCKET_ANSWERS_MAX, 2000, 1000);
	assert_true(sockets_is_stale(&sockets, HASH));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_quiet_connection_is_stale,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_connection_with_bytes_is_fit, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_connection_that_ended_is_fit, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_connection_that_is_not_known_is_fit, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_answers_are_remembered,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_connection_with_many_answers_is_unfit, setup,
			teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
