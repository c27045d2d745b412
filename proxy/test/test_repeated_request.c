/* A request that is sent again, by its id, after it was answered: a late copy
 * of the first answer, on the connection that carried that, passes for the
 * answer to the second sending. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "caller.h"
#include "fixture.h"
#include "scripted.h"
#include <cmocka.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Time between a late copy and the answer behind it, in ms. */
#define BEHIND_MS 20

/* Fields of requests that another VM relays, as its own and for a region. */
#define RELAYED "Relayed-By: vm2\r\nRelay-Attempts: 1\r\n"
#define RELAYED_TO_REGION RELAYED "Relay-Region: n\r\nRelay-Service: s\r\n"

/* Status line and fields of the first answer to each request. */
static const char *first_answer;

static size_t format_answer(const char *begin, const char *id, char *out,
			    size_t size)
{
	return (size_t)snprintf(out, size,
				"HTTP/1.1 %sX-Request-Id: %s\r\n"
				"X-Server-Stamp: 1.2.3\r\n"
				"X-Server-Load: 1,0,6\r\n"
				"Content-Length: 0\r\n\r\n",
				begin, id);
}

/* A request that comes for the first time gets the first answer. The next time
 * it runs; on the connection that carried the first answer, a copy of this
 * comes before the new one. */
static void reply(const struct scripted_request *request,
		  struct scripted_reply *out)
{
	char *answer = out->bytes;
	size_t *len = &out->len;

	if (!scripted_count_arrivals(request->id)) {
		out->len = format_answer(first_answer, request->id, out->bytes,
					 sizeof(out->bytes));
		return;
	}
	out->runs = 1;
	if (request->uses_before && !strcmp(request->id_before, request->id)) {
		out->len = format_answer(first_answer, request->id, out->bytes,
					 sizeof(out->bytes));
		out->then_delay_ms = BEHIND_MS;
		answer = out->then;
		len = &out->then_len;
	}
	*len = format_answer("200 OK\r\n", request->id, answer,
			     SCRIPTED_BYTES_MAX);
}

static struct caller front;
static struct caller relay;

static int setup(void **state)
{
	(void)state;
	front.port = fixture_start(scripted_start(reply));
	relay.port = fixture_relay_port();
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	caller_finish(&front);
	caller_finish(&relay);
	fixture_stop();
	scripted_stop();
	return 0;
}

/* Sends a request at a door again if the first answer says that it did not run,
 * or may be repeated; expects the answer of the sending that ran. */
static void expect_answer_of_own(struct caller *door, const char *method,
				 const char *path, const char *first)
{
	static int serial;
	struct caller_response answer;
	char id[16];

	first_answer = first;
	snprintf(id, sizeof(id), "r%07d", ++serial);
	caller_request(door, method, path, id, 0, &answer);
	if (!scripted_count_runs(id))
		caller_request(door, method, path, id, 0, &answer);
	assert_int_equal(scripted_count_runs(id), 1);
	assert_int_equal(answer.status, 200);
	assert_string_equal(answer.outcome, "ran");
}

#define REFUSED "503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
#define UNCLEAR "503 Service Unavailable\r\n"
#define MISDIRECTED "421 Misdirected Request\r\n"
#define FAILED "500 Internal Server Error\r\n"

/* All answers after which a request may be sent again. */
static void expect_answers_of_own(struct caller *door)
{
	expect_answer_of_own(door, "POST", "/once/a", REFUSED);
	expect_answer_of_own(door, "POST", "/once/a", MISDIRECTED);
	expect_answer_of_own(door, "GET", "/safe/a", FAILED);
	expect_answer_of_own(door, "GET", "/safe/a", UNCLEAR);
}

static void test_retry_of_this_vm(void **state)
{
	(void)state;
	expect_answers_of_own(&front);
}

static void test_retry_of_another_regions_vm(void **state)
{
	(void)state;
	relay.fields = RELAYED_TO_REGION;
	expect_answers_of_own(&relay);
}

static void test_retry_of_an_isolated_vm(void **state)
{
	(void)state;
	relay.fields = RELAYED;
	expect_answers_of_own(&relay);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_retry_of_this_vm),
		cmocka_unit_test(test_retry_of_another_regions_vm),
		cmocka_unit_test(test_retry_of_an_isolated_vm),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
