/* Uploads whose answer is decided before the body has come: the answer is sent
 * at once, whatever the body does. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "routes.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

/* Time within which a caller must hear of a request that the VM has given up,
 * in ms. */
#define ANSWER_MAX_MS 1000

/* An upload in pieces, over a connection that has carried a request before, and
 * what became of it. */
struct upload {
	pthread_t thread;
	int port;
	const char *path;
	int bytes;
	int pieces;
	int piece_ms;
	/* The body is sent in chunks. */
	int is_chunked;
	/* 0 if there was no answer; and when it came, after the first byte. */
	int status;
	int is_not_run;
	int64_t answered_ms;
	size_t answer_bytes;
	/* The whole body was taken. */
	int is_sent;
};

static void send_text(int fd, const char *text)
{
	send(fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Receives what there is of an answer. */
static void receive_some(int fd, struct upload *u, char *text, size_t size,
			 int flags)
{
	while (u->answer_bytes < size - 1) {
		ssize_t n = recv(fd, text + u->answer_bytes,
				 size - 1 - u->answer_bytes, flags);

		if (n <= 0)
			return;
		u->answer_bytes += (size_t)n;
		text[u->answer_bytes] = 0;
		if (strstr(text, "\r\n\r\n") && flags == 0 &&
		    strcasestr(text, "\r\nContent-Length: ")) {
			size_t head = (size_t)(strstr(text, "\r\n\r\n") - text);

			if (u->answer_bytes >=
			    head + 4 +
				    (size_t)atol(strcasestr(text, "\r\nContent-"
								  "Length: ") +
						 18))
				return;
		}
	}
}

static void send_piece(int fd, const struct upload *u, const char *block,
		       size_t len)
{
	char size[32];

	if (u->is_chunked) {
		snprintf(size, sizeof(size), "%zx\r\n", len);
		send_text(fd, size);
	}
	send(fd, block, len, MSG_NOSIGNAL);
	if (u->is_chunked)
		send_text(fd, "\r\n");
}

static void send_head(int fd, const struct upload *u)
{
	static _Atomic int serial;
	char head[400];
	char length[64];

	snprintf(length, sizeof(length),
		 u->is_chunked ? "Transfer-Encoding: chunked"
			       : "Content-Length: %d",
		 u->bytes);
	snprintf(head, sizeof(head),
		 "POST %s HTTP/1.1\r\nHost: h.example\r\n"
		 "X-Request-Id: u-%d\r\nX-Deadline-Remaining-Ms: 8000\r\n"
		 "%s\r\n\r\n",
		 u->path, ++serial, length);
	send_text(fd, head);
}

static void *run_upload(void *ctx)
{
	static const struct timeval wait = {.tv_sec = 10};
	struct upload *u = ctx;
	size_t size = 1 << 20;
	char *text = calloc(1, size);
	size_t len = (size_t)(u->bytes / u->pieces);
	char *block = malloc(len);
	struct upload first = {.path = "/once/echo"};
	int fd = harness_connect(u->port);
	int64_t begun_ms;

	memset(block, 'b', len);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	send_head(fd, &first);
	receive_some(fd, &first, text, size, 0);
	memset(text, 0, size);
	begun_ms = prl_now_ms();
	send_head(fd, u);
	for (int i = 0; i < u->pieces; i++) {
		send_piece(fd, u, block, len);
		if (u->piece_ms)
			harness_sleep_ms(u->piece_ms);
		receive_some(fd, u, text, size, MSG_DONTWAIT);
		if (u->answer_bytes && !u->answered_ms)
			u->answered_ms = prl_now_ms() - begun_ms;
	}
	if (u->is_chunked)
		send_text(fd, "0\r\n\r\n");
	if (!u->answer_bytes)
		receive_some(fd, u, text, size, 0);
	else
		receive_some(fd, u, text, size, MSG_DONTWAIT);
	if (!u->answered_ms)
		u->answered_ms = prl_now_ms() - begun_ms;
	if (!strncmp(text, "HTTP/1.1 ", 9))
		u->status = atoi(text + 9);
	u->is_not_run = strstr(text, "\r\nRequest-Outcome: not-run\r\n") != 0;
	close(fd);
	free(block);
	free(text);
	return NULL;
}

/* Upstreams reject the request, which has not run, while its body comes slowly:
 * the VM closed the connection after 3 s without an answer. */
static void test_rejected_slow_upload_gets_no_answer(void **state)
{
	(void)state;
	for (int is_chunked = 0; is_chunked <= 1; is_chunked++) {
		struct upload u = {.port = HTTP_PORT(1),
				   .path = "/up/shed",
				   .bytes = 400000,
				   .pieces = 40,
				   .piece_ms = 100,
				   .is_chunked = is_chunked};

		run_upload(&u);
		print_message("status %d after %lld ms\n", u.status,
			      (long long)u.answered_ms);
		assert_int_equal(u.status, 503);
		assert_int_equal(u.is_not_run, 1);
		assert_in_range(u.answered_ms, 0, ANSWER_MAX_MS);
	}
}

/* An upload of which the VM reads no more than 32 MB after it is rejected. */
static void test_rejected_large_upload_gets_no_answer(void **state)
{
	struct upload u = {.port = HTTP_PORT(1),
			   .path = "/up/shed",
			   .bytes = 60 << 20,
			   .pieces = 60};

	(void)state;
	run_upload(&u);
	assert_int_equal(u.status, 503);
	assert_int_equal(u.is_not_run, 1);
}

/* An upload that no route takes. */
static void test_unroutable_slow_upload_gets_no_answer(void **state)
{
	struct upload u = {.port = HTTP_PORT(1),
			   .path = "/nowhere/x",
			   .bytes = 400000,
			   .pieces = 40,
			   .piece_ms = 100};

	(void)state;
	run_upload(&u);
	assert_int_equal(u.status, 404);
	assert_in_range(u.answered_ms, 0, ANSWER_MAX_MS);
}

/* An upload that is quick enough keeps its connection. */
static void test_quick_upload_loses_its_connection(void **state)
{
	struct caller_state {
		int fd;
	} c = {.fd = harness_connect(HTTP_PORT(1))};
	static const struct timeval wait = {.tv_sec = 5};
	struct upload u = {.path = "/nowhere/x", .bytes = 1000};
	struct upload next = {.path = "/once/echo"};
	static char text[1 << 16];
	char body[1000];

	(void)state;
	setsockopt(c.fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	memset(body, 'b', sizeof(body));
	send_head(c.fd, &u);
	send(c.fd, body, sizeof(body), MSG_NOSIGNAL);
	receive_some(c.fd, &u, text, sizeof(text), 0);
	assert_non_null(strstr(text, "HTTP/1.1 404"));
	memset(text, 0, sizeof(text));
	send_head(c.fd, &next);
	receive_some(c.fd, &next, text, sizeof(text), 0);
	assert_non_null(strstr(text, "HTTP/1.1 200"));
	close(c.fd);
}

/* An upstream answers early with more than a VM buffers of an answer. */
static void test_early_long_answer_is_not_passed_on(void **state)
{
	static const char *const paths[] = {"/up/early-1000",
					    "/up/early-100000"};

	(void)state;
	for (int i = 0; i < 2; i++) {
		struct upload u = {.port = HTTP_PORT(1),
				   .path = paths[i],
				   .bytes = 8000000,
				   .pieces = 80,
				   .piece_ms = 20};

		run_upload(&u);
		print_message("%s: status %d, %zu bytes after %lld ms\n",
			      paths[i], u.status, u.answer_bytes,
			      (long long)u.answered_ms);
		assert_int_equal(u.status, 413);
		assert_true(u.answer_bytes > (i ? 100000U : 1000U));
	}
}

/* The listener must not be closed while a connection is suspended, and libcurl
 * takes no more of these uploads. */
static void test_stop_under_an_early_answer_aborts(void **state)
{
	struct upload u[4];

	(void)state;
	for (int i = 0; i < 4; i++) {
		u[i] = (struct upload){.port = HTTP_PORT(2),
				       .path = i % 2 ? "/up/early-100000"
						     : "/up/early-1000",
				       .bytes = 20000000,
				       .pieces = 200,
				       .piece_ms = 45};
		pthread_create(&u[i].thread, NULL, run_upload, &u[i]);
	}
	harness_sleep_ms(300);
	assert_int_equal(harness_kill(routes_vm_pid[2], SIGTERM), 0);
	for (int i = 0; i < 4; i++) {
		pthread_join(u[i].thread, NULL);
		print_message("%s: status %d, %zu bytes\n", u[i].path,
			      u[i].status, u[i].answer_bytes);
		assert_int_equal(u[i].status, 413);
	}
	routes_start_vm(2);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rejected_slow_upload_gets_no_answer),
		cmocka_unit_test(test_rejected_large_upload_gets_no_answer),
		cmocka_unit_test(test_unroutable_slow_upload_gets_no_answer),
		cmocka_unit_test(test_quick_upload_loses_its_connection),
		cmocka_unit_test(test_early_long_answer_is_not_passed_on),
		cmocka_unit_test(test_stop_under_an_early_answer_aborts),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, routes_setup, routes_teardown);
}
