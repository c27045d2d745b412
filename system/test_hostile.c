/* Malformed requests, request smuggling and unfinished request heads.
 * HOSTILE_MS in the environment: duration of the mutation test, in place of a
 * fixed number of requests. */
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
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define SEED 20261204

/* Number of mutated requests, and the interval between health checks of the
 * VM, in requests. */
#define MUTATED_REQUESTS 600
#define CHECK_EVERY 100

/* Receive timeout, in ms. Most mutated requests get no response at once. */
#define RESPONSE_TIMEOUT_MS 20

#define REQUEST_TEXT_MAX 8192

static GRand *rng;

static int connect_vm(void)
{
	struct timeval wait = {.tv_usec = RESPONSE_TIMEOUT_MS * 1000};
	int fd = harness_connect(HTTP_PORT(1));

	assert_true(fd >= 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	return fd;
}

/* Sends a text and copies all bytes received until end of file or timeout. */
static void exchange(const char *text, size_t len, char *out)
{
	int fd = connect_vm();
	size_t have = 0;
	ssize_t n;

	if (send(fd, text, len, MSG_NOSIGNAL) < 0) {
		close(fd);
		out[0] = 0;
		return;
	}
	while (have < REQUEST_TEXT_MAX - 1 &&
	       (n = recv(fd, out + have, REQUEST_TEXT_MAX - 1 - have, 0)) > 0)
		have += (size_t)n;
	out[have] = 0;
	close(fd);
}

/* The VM sends either nothing or an HTTP response. */
static void expect_responses(const char *out, const char *sent)
{
	if (out[0] && strncmp(out, "HTTP/1.1 ", 9) != 0)
		fail_msg("request \"%s\" got a response that is not HTTP: "
			 "\"%.60s\"",
			 sent, out);
}

static void expect_vm_healthy(void)
{
	char text[200];
	char url[80];
	struct http_response resp = routes_request("GET", "/safe/plain");

	routes_expect_complete(&resp);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/api/readiness",
		 READY_PORT(1));
	assert_int_equal(harness_get(url, text, sizeof(text)), 200);
}

#define INNER                                                                  \
	"POST /once/smuggled HTTP/1.1\r\nHost: h.example\r\n"                  \
	"X-Request-Id: inner\r\nContent-Length: 0\r\n\r\n"

/* Length of INNER, as the texts name it. */
#define INNER_LENGTH "89"
_Static_assert(sizeof(INNER) - 1 == 89, "INNER_LENGTH is not that of INNER");

#define OUTER                                                                  \
	"POST /once/plain HTTP/1.1\r\nHost: h.example\r\n"                     \
	"X-Request-Id: outer\r\n"

/* Each text contains a second request only for a parser that frames the first
 * one differently from the other parsers on the path. */
static const char *const smuggling_attempts[] = {
	OUTER "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
	      "0\r\n\r\n" INNER,
	OUTER "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
	      "0\r\n\r\n" INNER,
	OUTER "Content-Length: 0\r\nContent-Length: " INNER_LENGTH
	      "\r\n\r\n" INNER,
	OUTER "Content-Length: " INNER_LENGTH
	      "\r\nContent-Length: 0\r\n\r\n" INNER,
	OUTER "Content-Length: 0, " INNER_LENGTH "\r\n\r\n" INNER,
	OUTER "Content-Length: +0\r\n\r\n" INNER,
	OUTER "Content-Length: -1\r\n\r\n" INNER,
	OUTER "Content-Length: 0x0\r\n\r\n" INNER,
	OUTER "Content-Length: 0 0\r\n\r\n" INNER,
	OUTER "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n" INNER,
	OUTER "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" INNER,
	OUTER "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" INNER,
	OUTER "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" INNER,
	OUTER "Content-Length : 0\r\n\r\n" INNER,
	OUTER "Transfer-Encoding: chunked\r\n\r\n"
	      "ffffffffffffffff0\r\n\r\n" INNER,
	OUTER "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n" INNER,
	OUTER "X: a\r\n Content-Length: " INNER_LENGTH "\r\n\r\n" INNER,
	OUTER "X: a\nContent-Length: " INNER_LENGTH "\r\n\r\n" INNER,
	OUTER "Content-Length: " INNER_LENGTH "\r\n\r\n" INNER,
	OUTER "Upgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings\r\n"
	      "Content-Length: " INNER_LENGTH "\r\n\r\n" INNER,
	"POST /once/plain HTTP/1.1\r\nHost: h.example\r\n"
	"X-Request-Id: outer\r\n X-Expected-Instance: i-1\r\n"
	"Content-Length: " INNER_LENGTH "\r\n\r\n" INNER,
	"POST /once/plain HTTP/1.1\r\nHost: h.example\r\n"
	"X-Request-Id: a\rPOST /once/smuggled HTTP/1.1\r\n"
	"Content-Length: 0\r\n\r\n",
	"POST /once/plain%0d%0a%0d%0aPOST%20/once/smuggled%20HTTP/1.1 HTTP/1.1"
	"\r\nHost: h.example\r\nX-Request-Id: outer\r\n"
	"Content-Length: 0\r\n\r\n",
};

static int64_t smuggled_requests(void)
{
	return routes_upstream_stat(UPSTREAM_PORT(1), "smuggled") +
	       routes_upstream_stat(UPSTREAM_PORT(2), "smuggled");
}

static void test_nothing_is_smuggled(void **state)
{
	char out[REQUEST_TEXT_MAX];

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(smuggling_attempts); i++) {
		exchange(smuggling_attempts[i], strlen(smuggling_attempts[i]),
			 out);
		expect_responses(out, smuggling_attempts[i]);
		harness_sleep_ms(30);
		if (smuggled_requests())
			fail_msg(
				"text %zu reached an upstream as two requests: "
				"%s",
				i, smuggling_attempts[i]);
	}
	expect_vm_healthy();
}

/* Well-formed requests, from which the mutated ones are made. */
static const char *const valid_requests[] = {
	"GET /safe/plain HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: s1\r\n"
	"X-Affinity-Key: 17\r\nX-Deadline-Remaining-Ms: 900\r\n\r\n",
	"POST /once/plain HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: s2\r\n"
	"Content-Length: 11\r\n\r\nhello world",
	"POST /up/plain HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: s3\r\n"
	"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n"
	"0\r\n\r\n",
	"GET /safe/plain HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: "
	"s4\r\n\r\n"
	"GET /safe/plain HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: s5\r\n"
	"Connection: close\r\n\r\n",
	"GET /-/lookup?service=s HTTP/1.1\r\nHost: h.example\r\n\r\n",
	"POST /up/plain HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: s6\r\n"
	"Expect: 100-continue\r\nContent-Length: 4\r\n\r\nabcd",
};

/* Fragments that mutations insert. */
static const char *const fragments[] = {
	"\r\n",
	"\r\n\r\n",
	"\n",
	"\r",
	"\t",
	" ",
	":",
	"%",
	"%00",
	"/../",
	"//",
	"?",
	"#",
	"99999999999999999999",
	"-1",
	"\xff\xfe",
	"HTTP/9.9",
	"Content-Length: 7\r\n",
	"Transfer-Encoding: chunked\r\n",
	"Connection: keep-alive, close\r\n",
	"X-Request-Id: \r\n",
	"X-Deadline-Remaining-Ms: 1e9\r\n",
	"X-Affinity-Key: \x01\r\n",
	"Host: \r\n",
	"Expect: 200-ok\r\n",
};

/* Inserts a copy of part at a random offset; part may point into text. Returns
 * the new length, unchanged if the text would be too long. */
static size_t insert_at_random(char *text, size_t len, const char *part,
			       size_t n)
{
	size_t at = (size_t)g_rand_int_range(rng, 0, (int)len + 1);
	char copy[REQUEST_TEXT_MAX];

	if (len + n >= REQUEST_TEXT_MAX)
		return len;
	memcpy(copy, part, n);
	memmove(text + at + n, text + at, len - at);
	memcpy(text + at, copy, n);
	return len + n;
}

static size_t mutate(char *text, size_t len)
{
	const char *part = fragments[g_rand_int_range(
		rng, 0, (int)G_N_ELEMENTS(fragments))];
	size_t at = (size_t)g_rand_int_range(rng, 0, (int)len);
	char zero = 0;

	switch (g_rand_int_range(rng, 0, 6)) {
	case 0:
		text[at] = (char)g_rand_int_range(rng, 0, 256);
		return len;
	case 1:
		return at + 1;
	case 2:
		memmove(text + at, text + at + 1, len - at - 1);
		return len > 1 ? len - 1 : len;
	case 3:
		return insert_at_random(text, len, &zero, 1);
	case 4:
		return insert_at_random(text, len, text + at, (len - at) / 2);
	default:
		return insert_at_random(text, len, part, strlen(part));
	}
}

static void send_mutated(void)
{
	const char *from = valid_requests[g_rand_int_range(
		rng, 0, (int)G_N_ELEMENTS(valid_requests))];
	char text[REQUEST_TEXT_MAX + 1];
	char out[REQUEST_TEXT_MAX];
	size_t len = strlen(from);

	memcpy(text, from, len + 1);
	for (int n = g_rand_int_range(rng, 1, 6); n > 0; n--)
		len = mutate(text, len);
	exchange(text, len, out);
	text[len] = 0;
	expect_responses(out, text);
}

/* A request in which random bytes were changed, removed or inserted gets an
 * HTTP response or none, and the VM still serves other callers. */
static void test_drawn_texts(void **state)
{
	const char *ms = getenv("HOSTILE_MS");
	int64_t end = ms ? prl_now_ms() + strtoll(ms, NULL, 10) : 0;

	(void)state;
	rng = g_rand_new_with_seed(SEED);
	for (int i = 1; ms ? prl_now_ms() < end : i <= MUTATED_REQUESTS; i++) {
		send_mutated();
		if (i % CHECK_EVERY == 0)
			expect_vm_healthy();
	}
	g_rand_free(rng);
	expect_vm_healthy();
}

/* 200 connections with unfinished request heads don't block other callers. */
static void test_unfinished_heads(void **state)
{
	static const char head[] = "GET /safe/plain HTTP/1.1\r\nHost: h.exa";
	int fd[200];

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(fd); i++) {
		fd[i] = connect_vm();
		assert_int_equal(
			send(fd[i], head, sizeof(head) - 1, MSG_NOSIGNAL),
			sizeof(head) - 1);
	}
	for (int i = 0; i < 5; i++)
		expect_vm_healthy();
	for (size_t i = 0; i < G_N_ELEMENTS(fd); i++)
		close(fd[i]);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_is_smuggled),
		cmocka_unit_test(test_drawn_texts),
		cmocka_unit_test(test_unfinished_heads),
	};
	int rc;

	(void)argc;
	harness_init(argv[0]);
	rc = cmocka_run_group_tests(tests, routes_setup, routes_teardown);
	harness_finish();
	return rc;
}
