/* The listener: connections that are kept, moved to the daemon with more
 * memory, pipelined, idle, and more than are allowed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "serve_fixture.h"
#include <apr_general.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

/* Time for which a caller reads an answer, longer than a place is held without
 * progress, and between two reads, in ms. */
#define READ_MS 3000
#define READ_EVERY_MS 20

/* Most bytes of an answer that are held for a caller who does not read. */
#define UNREAD_MAX_BYTES (256 << 10)

static void test_kept_connections_have_little_memory(void **state)
{
	int fd = dial();

	(void)state;
	for (int i = 0; i < 5; i++) {
		ask(fd, "GET", "/a", 3, "");
		expect(fd, "/a", 0, USUAL_BYTES);
	}
	close(fd);
}

/* Head and body come apart, as most clients send them. */
static void test_bodies_come_behind_their_head(void **state)
{
	int fd = dial();
	char body[1000] = "";

	(void)state;
	for (int i = 0; i < 4; i++) {
		ask(fd, "POST", "/b", 3,
		    i % 2 ? "Transfer-Encoding: chunked\r\n"
			  : "Content-Length: 1000\r\n");
		usleep(20000);
		if (i % 2)
			say(fd, "3e8\r\n", 5);
		say(fd, body, sizeof(body));
		if (i % 2)
			say(fd, "\r\n0\r\n\r\n", 7);
		expect(fd, "/b", 1000, USUAL_BYTES);
	}
	close(fd);
}

/* A head of 2,000 fields, first, on a kept connection, and behind a body. */
static void test_large_heads_get_room(void **state)
{
	char body[300] = "";

	(void)state;
	for (int before = 0; before < 3; before++) {
		int fd = dial();

		for (int i = 0; i < before; i++) {
			ask(fd, "POST", "/c", 1, "Content-Length: 300\r\n");
			say(fd, body, sizeof(body));
			expect(fd, "/c", 300, USUAL_BYTES);
		}
		ask(fd, "GET", "/d", 2000, "");
		expect(fd, "/d", 0, LARGE_BYTES);
		/* Where the memory is kept, the connection is. */
		ask(fd, "GET", "/e", 0, "");
		expect(fd, "/e", 0, LARGE_BYTES);
		close(fd);
	}
}

static void test_heads_come_in_pieces(void **state)
{
	static const int nfields[] = {3, 90, 500};

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(nfields); k++) {
		char *text = format_head("GET", "/p", nfields[k], "");
		int fd = dial();

		for (size_t at = 0, len = strlen(text); at < len;) {
			size_t n = len - at;

			n = n > len / 7 + 1 ? len / 7 + 1 : n;
			say(fd, text + at, n);
			at += n;
			usleep(10000);
		}
		expect(fd, "/p", 0,
		       nfields[k] < 200 ? USUAL_BYTES : LARGE_BYTES);
		g_free(text);
		close(fd);
	}
}

/* The rest of a head comes so late that the connection's room is chosen before;
 * nothing of it is lost. */
static void test_slow_head(void **state)
{
	int fd = dial();

	(void)state;
	ask(fd, "GET", "/f", 0, "");
	expect(fd, "/f", 0, USUAL_BYTES);
	say(fd, "GET /slow HT", 12);
	usleep(1300000);
	say(fd, "TP/1.1\r\nHost: h\r\n\r\n", 19);
	expect(fd, "/slow", 0, LARGE_BYTES);
	close(fd);
}

/* Requests that come at once, also a part of one, which the library may read
 * with the one before: the connection stays where its bytes are. */
static void test_pipelined_requests(void **state)
{
	GString *text = g_string_new(NULL);
	int fd = dial();

	(void)state;
	for (int i = 0; i < 5; i++)
		g_string_append(text, "GET /g HTTP/1.1\r\nHost: h\r\n\r\n");
	g_string_append(text, "GET /h HTTP");
	say(fd, text->str, text->len);
	for (int i = 0; i < 5; i++)
		expect(fd, "/g", 0, USUAL_BYTES);
	usleep(1300000);
	say(fd, "/1.1\r\nHost: h\r\n\r\n", 17);
	expect(fd, "/h", 0, USUAL_BYTES);
	ask(fd, "GET", "/g", 2, "");
	expect(fd, "/g", 0, USUAL_BYTES);
	g_string_free(text, TRUE);
	close(fd);
}

/* The beginning of a request was read with the one before, and its rest needs
 * more memory: the rest alone is no request, so the library refuses the whole.
 */
static void test_part_that_was_read_is_not_moved(void **state)
{
	static const char begin_of_next[] =
		"GET /q HTTP/1.1\r\nHost: h\r\n\r\nX";
	char *rest = format_head("GET", "/r", 1500, "");
	char got[64] = "";
	int fd = dial();

	(void)state;
	say(fd, begin_of_next, sizeof(begin_of_next) - 1);
	expect(fd, "/q", 0, USUAL_BYTES);
	usleep(50000);
	say(fd, rest, strlen(rest));
	assert_true(recv(fd, got, sizeof(got) - 1, 0) > 0);
	assert_non_null(strstr(got, "HTTP/1.1 431"));
	g_free(rest);
	close(fd);
}

/* The length of a request in chunks is not known; that of the next one is. */
static void test_large_head_after_chunks(void **state)
{
	static const char chunked[] = "POST /s HTTP/1.1\r\n"
				      "Transfer-Encoding: chunked\r\n\r\n"
				      "3\r\nabc\r\n0\r\n\r\n";
	int fd = dial();

	(void)state;
	for (int i = 0; i < 3; i++) {
		say(fd, chunked, sizeof(chunked) - 1);
		expect(fd, "/s", 3, USUAL_BYTES);
	}
	ask(fd, "GET", "/t", 2, "");
	expect(fd, "/t", 0, USUAL_BYTES);
	ask(fd, "GET", "/u", 2000, "");
	expect(fd, "/u", 0, LARGE_BYTES);
	close(fd);
}

/* Behind chunks, a part of the next method was read: not counted anew. */
static void test_part_behind_chunks_is_not_moved(void **state)
{
	static const char chunked[] = "POST /s HTTP/1.1\r\n"
				      "Transfer-Encoding: chunked\r\n\r\n"
				      "3\r\nabc\r\n0\r\n\r\nX";
	char got[64] = "";
	int fd = dial();

	(void)state;
	say(fd, chunked, sizeof(chunked) - 1);
	expect(fd, "/s", 3, USUAL_BYTES);
	usleep(50000);
	ask(fd, "GET", "/v", 2, "");
	expect(fd, "/v", 0, USUAL_BYTES);
	ask(fd, "GET", "/w", 2000, "");
	assert_true(recv(fd, got, sizeof(got) - 1, 0) > 0);
	assert_non_null(strstr(got, "HTTP/1.1 431"));
	close(fd);
}

static void test_large_head_behind_another_request(void **state)
{
	char *first = format_head("GET", "/i", 2, "");
	char *next = format_head("GET", "/j", 1500, "");
	char *both = g_strconcat(first, next, NULL);
	int fd = dial();

	(void)state;
	say(fd, both, strlen(both));
	expect(fd, "/i", 0, LARGE_BYTES);
	expect(fd, "/j", 0, LARGE_BYTES);
	g_free(first);
	g_free(next);
	g_free(both);
	close(fd);
}

/* The larger memory is kept for few connections; the others are closed after
 * their answer, which says so. */
static void test_few_large_connections_are_kept(void **state)
{
	int fd[15];
	int kept = 0;

	(void)state;
	for (int i = 0; i < 15; i++) {
		fd[i] = dial();
		ask(fd[i], "GET", "/k", 1000, "");
		expect(fd[i], "/k", 0, LARGE_BYTES);
	}
	for (int i = 0; i < 15; i++) {
		char got[200];

		ask(fd[i], "GET", "/l", 0, "");
		kept += !hear(fd[i], got, sizeof(got));
		close(fd[i]);
	}
	assert_in_range(kept, 1, 8);
}

static void test_idle_connections_are_closed(void **state)
{
	int fd[2] = {dial(), dial()};
	char byte;

	(void)state;
	ask(fd[1], "GET", "/m", 0, "");
	expect(fd[1], "/m", 0, USUAL_BYTES);
	for (int i = 0; i < 2; i++) {
		assert_int_equal(recv(fd[i], &byte, 1, 0), 0);
		close(fd[i]);
	}
}

/* A listener that has no descriptors takes those that wait once there are some,
 * and uses no processor until then. */
static void test_descriptors_run_out(void **state)
{
	struct rlimit saved;
	struct rlimit few;
	struct timespec before;
	struct timespec after;
	int fd[4];

	(void)state;
	getrlimit(RLIMIT_NOFILE, &saved);
	few = saved;
	for (int i = 0; i < 4; i++)
		fd[i] = socket(AF_INET, SOCK_STREAM, 0);
	few.rlim_cur = (rlim_t)fd[3] + 1;
	setrlimit(RLIMIT_NOFILE, &few);
	for (int i = 0; i < 4; i++) {
		dial_with(fd[i]);
		ask(fd[i], "GET", "/x", 0, "");
	}
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &before);
	usleep(500000);
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &after);
	setrlimit(RLIMIT_NOFILE, &saved);
	assert_in_range((after.tv_sec - before.tv_sec) * 1000 +
				(after.tv_nsec - before.tv_nsec) / 1000000,
			0, 100);
	for (int i = 0; i < 4; i++) {
		expect(fd[i], "/x", 0, USUAL_BYTES);
		close(fd[i]);
	}
}

/* Further callers wait until others have gone. */
static void test_connections_are_limited(void **state)
{
	int fd[2 * CONNECTIONS_MAX];
	int n = 2 * CONNECTIONS_MAX;

	(void)state;
	for (int i = 0; i < n; i++) {
		fd[i] = dial();
		ask(fd[i], "GET", "/n", i % 2 ? 1000 : 0, "");
	}
	for (int i = 0; i < n; i++) {
		expect(fd[i], "/n", 0, i % 2 ? LARGE_BYTES : USUAL_BYTES);
		close(fd[i]);
	}
	assert_in_range(serve_most_connections(), 1, CONNECTIONS_MAX);
}

/* Bytes that are held for a caller that does not read its answer are bounded,
 * also in the kernel. */
static void test_unread_answer_is_held_back(void **state)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int small = 4096;

	(void)state;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	dial_with(fd);
	ask(fd, "GET", ENDLESS_PATH, 0, "");
	usleep(500000);
	assert_in_range(serve_endless_bytes(), 1, UNREAD_MAX_BYTES);
	close(fd);
}

/* Callers that go on sending a request, and one that reads its answer. All
 * others wait for their places. */
static void test_caller_that_reads_keeps_its_place(void **state)
{
	static char block[64 << 10];
	int crowd[2 * CONNECTIONS_MAX];
	int reader = dial();

	(void)state;
	ask(reader, "GET", ENDLESS_PATH, 0, "");
	for (size_t i = 0; i < G_N_ELEMENTS(crowd); i++) {
		crowd[i] = dial();
		ask(crowd[i], "POST", "/y", 0, "Content-Length: 100000\r\n");
	}
	for (int ms = 0; ms < READ_MS; ms += READ_EVERY_MS) {
		assert_true(recv(reader, block, sizeof(block), 0) > 0);
		for (size_t i = 0; i < G_N_ELEMENTS(crowd); i++)
			send(crowd[i], "z", 1, MSG_NOSIGNAL);
		usleep(READ_EVERY_MS * 1000);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(crowd); i++)
		close(crowd[i]);
	close(reader);
}

/* A caller that does not read its answer makes no progress, whatever the kernel
 * takes of it. */
static void test_caller_that_does_not_read_gives_way(void **state)
{
	int idle[CONNECTIONS_MAX];
	int late;

	(void)state;
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		idle[i] = dial();
		ask(idle[i], "GET", ENDLESS_PATH, 0, "");
	}
	late = dial();
	ask(late, "GET", "/z", 0, "");
	expect(late, "/z", 0, USUAL_BYTES);
	close(late);
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		close(idle[i]);
}

static int setup_with_one_large(void **state)
{
	serve_large_max = 1;
	return serve_setup(state);
}

static int teardown_with_one_large(void **state)
{
	serve_large_max = 0;
	return serve_teardown(state);
}

/* Large heads that wait for one memory are served in turn: who gets it is not
 * ended for the next before its request has begun. */
static void test_large_heads_wait_their_turn(void **state)
{
	int stalled = dial();
	int fd[6];

	(void)state;
	ask(stalled, "POST", "/k", 1000, "Content-Length: 9\r\n");
	for (size_t i = 0; i < G_N_ELEMENTS(fd); i++) {
		fd[i] = dial();
		ask(fd[i], "GET", "/l", 1000, "Connection: close\r\n");
	}
	for (size_t i = 0; i < G_N_ELEMENTS(fd); i++) {
		expect(fd[i], "/l", 0, LARGE_BYTES);
		close(fd[i]);
	}
	close(stalled);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_kept_connections_have_little_memory, serve_setup,
			serve_teardown),
		cmocka_unit_test_setup_teardown(
			test_bodies_come_behind_their_head, serve_setup,
			serve_teardown),
		cmocka_unit_test_setup_teardown(test_large_heads_get_room,
						serve_setup, serve_teardown),
		cmocka_unit_test_setup_teardown(test_heads_come_in_pieces,
						serve_setup, serve_teardown),
		cmocka_unit_test_setup_teardown(test_slow_head, serve_setup,
						serve_teardown),
		cmocka_unit_test_setup_teardown(test_pipelined_requests,
						serve_setup, serve_teardown),
		cmocka_unit_test_setup_teardown(
			test_part_that_was_read_is_not_moved, serve_setup,
			serve_teardown),
		cmocka_unit_test_setup_teardown(test_large_head_after_chunks,
						serve_setup, serve_teardown),
		cmocka_unit_test_setup_teardown(
			test_part_behind_chunks_is_not_moved, serve_setup,
			serve_teardown),
		cmocka_unit_test_setup_teardown(
			test_large_head_behind_another_request, serve_setup,
			serve_teardown),
		cmocka_unit_test_setup_teardown(
			test_large_heads_wait_their_turn, setup_with_one_large,
			teardown_with_one_large),
		cmocka_unit_test_setup_teardown(
			test_few_large_connections_are_kept, serve_setup,
			serve_teardown),
		cmocka_unit_test_setup_teardown(
			test_idle_connections_are_closed, serve_setup,
			serve_teardown),
		cmocka_unit_test_setup_teardown(test_descriptors_run_out,
						serve_setup, serve_teardown),
		cmocka_unit_test_setup_teardown(test_unread_answer_is_held_back,
						serve_setup, serve_teardown),
		cmocka_unit_test_setup_teardown(
			test_caller_that_reads_keeps_its_place, serve_setup,
			serve_teardown),
		cmocka_unit_test_setup_teardown(
			test_caller_that_does_not_read_gives_way, serve_setup,
			serve_teardown),
		cmocka_unit_test_setup_teardown(test_connections_are_limited,
						serve_setup, serve_teardown),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
