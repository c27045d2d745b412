/* Responses that end, or begin again, at any byte, on the way from an upstream
 * and from another VM. */
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

/* Texts of responses: %1$s is the id of the request, %2$s the line by which
 * another VM says whether it ran. All ids have the same length. */
#define ID "X-Request-Id: %1$s\r\n%2$s"
#define STAMP "X-Server-Stamp: 1.2.3\r\n"
#define OK "HTTP/1.1 200 OK\r\n"
#define NOT_RUN "X-Not-Executed: 1\r\n"
#define LENGTH "Content-Length: 19\r\n"
#define BODY "answer to %1$s\n"

/* Length of a request's body: its upstream may answer before it has all. */
#define REQUEST_BODY_BYTES 3000

/* Pause before surplus bytes that come late, in ms. */
#define LATE_MS 2

/* Failures that are printed, and those that end a test. */
#define PRINTED_MAX 8
#define FAILURES_MAX 40

/* Status that the caller gets for a whole response. */
#define ANY_STATUS 0

struct kind {
	const char *name;
	int is_head_request;
	/** Status of the response. */
	int status;
	/** Status that the caller gets if the response is whole; a refused
	 * request is served by the next upstream. */
	int caller_status;
	int runs;
	int has_body;
	int ends_with_connection;
	const char *text;
};

static const struct kind kinds[] = {
	{"length", 0, 200, 200, 1, 1, 0,
	 OK ID STAMP "X-Server-Load: 1,0,6\r\n" LENGTH "\r\n" BODY},
	{"length first", 0, 200, 200, 1, 1, 0, OK LENGTH STAMP ID "\r\n" BODY},
	{"chunked", 0, 200, 200, 1, 1, 0,
	 OK ID STAMP "Transfer-Encoding: chunked\r\n\r\n"
		     "8\r\nanswer t\r\nb\r\no %1$s\n\r\n0\r\n\r\n"},
	{"chunked with a trailer", 0, 200, 200, 1, 1, 0,
	 OK ID STAMP "Transfer-Encoding: chunked\r\n\r\n"
		     "13\r\n" BODY "\r\n0\r\n" NOT_RUN
		     "X-Request-Id: another\r\n\r\n"},
	{"until close", 0, 200, 200, 1, 1, 1, OK STAMP ID "\r\n" BODY},
	{"empty", 0, 200, 200, 1, 0, 0,
	 OK ID STAMP "Content-Length: 0\r\n\r\n"},
	{"204", 0, 204, 204, 1, 0, 0,
	 "HTTP/1.1 204 No Content\r\n" STAMP ID "\r\n"},
	{"304", 0, 304, 304, 1, 0, 0,
	 "HTTP/1.1 304 Not Modified\r\n" STAMP ID LENGTH "\r\n"},
	{"HEAD", 1, 200, 200, 1, 0, 0, OK STAMP LENGTH ID "\r\n"},
	{"after 100", 0, 200, 200, 1, 1, 0,
	 "HTTP/1.1 100 Continue\r\n\r\n" OK STAMP ID LENGTH "\r\n" BODY},
	{"after 103", 0, 200, 200, 1, 1, 0,
	 "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" NOT_RUN
	 "\r\n" OK ID STAMP LENGTH "\r\n" BODY},
	{"500", 0, 500, 500, 1, 1, 0,
	 "HTTP/1.1 500 Failed\r\n" STAMP ID LENGTH "\r\n" BODY},
	{"404", 0, 404, 404, 1, 1, 0,
	 "HTTP/1.1 404 No\r\n" ID STAMP LENGTH "\r\n" BODY},
	{"503 that ran", 0, 503, 502, 1, 1, 0,
	 "HTTP/1.1 503 Busy\r\n" ID LENGTH "\r\n" BODY},
	{"200 that did not run", 0, 200, 502, 1, 1, 0,
	 OK ID STAMP NOT_RUN LENGTH "\r\n" BODY},
	{"two ids", 0, 200, 502, 1, 1, 0,
	 OK "X-Request-Id: another\r\n" ID STAMP LENGTH "\r\n" BODY},
	{"503", 0, 503, 200, 0, 0, 0,
	 "HTTP/1.1 503 Full\r\n" ID NOT_RUN "Content-Length: 0\r\n\r\n"},
	{"503 with a body", 0, 503, 200, 0, 1, 0,
	 "HTTP/1.1 503 Full\r\n" NOT_RUN LENGTH ID "\r\n" BODY},
	{"429", 0, 429, 200, 0, 1, 0,
	 "HTTP/1.1 429 Slow\r\n" ID LENGTH NOT_RUN "\r\n" BODY},
	{"421", 0, 421, 200, 0, 0, 0,
	 "HTTP/1.1 421 Misdirected\r\n" ID "Content-Length: 0\r\n\r\n"},
	{"refusal without an id", 0, 503, ANY_STATUS, 0, 0, 0,
	 "HTTP/1.1 503 Full\r\n" NOT_RUN "%2$sContent-Length: 0\r\n\r\n"},
	{"421 without an id", 0, 421, ANY_STATUS, 0, 0, 0,
	 "HTTP/1.1 421 Misdirected\r\n%2$sContent-Length: 0\r\n\r\n"},
};

#define NKIND ((int)(sizeof(kinds) / sizeof(*kinds)))
#define PLAIN (&kinds[0])

static enum fixture_hop hop;

/* What the server does with the requests of one case; set while it is idle. */
static struct {
	/** Kind of the first response, and how many of its bytes are sent. */
	const struct kind *kind;
	size_t len;
	enum scripted_end end;
	int is_early;
	/** A copy of "surplus_len" bytes from "surplus_at" of the first
	 * response is sent once more, at this point. */
	enum { NO_SURPLUS, AT_ONCE, LATE, WITH_NEXT } surplus;
	size_t surplus_at;
	size_t surplus_len;
	/** Id of the first request. */
	char id[SCRIPTED_ID_MAX];
} plan;

static size_t format_response(const struct kind *k, const char *id, char *out)
{
	const char *outcome = "";

	if (hop == FIXTURE_PEER)
		outcome = k->runs ? "Request-Outcome: ran\r\n"
				  : "Request-Outcome: not-run\r\n";
	return (size_t)snprintf(out, SCRIPTED_BYTES_MAX, k->text, id, outcome);
}

/* The first arrival of the case's first request. */
static void reply_as_planned(const struct scripted_request *request,
			     struct scripted_reply *out)
{
	char whole[SCRIPTED_BYTES_MAX];

	format_response(plan.kind, request->id, whole);
	memcpy(out->bytes, whole, plan.len);
	out->len = plan.len;
	out->end = plan.end;
	out->is_early = plan.is_early;
	out->runs = plan.kind->runs;
	if (plan.surplus == AT_ONCE) {
		memcpy(out->bytes + out->len, whole + plan.surplus_at,
		       plan.surplus_len);
		out->len += plan.surplus_len;
	} else if (plan.surplus == LATE) {
		memcpy(out->then, whole + plan.surplus_at, plan.surplus_len);
		out->then_len = plan.surplus_len;
		out->then_delay_ms = LATE_MS;
	}
}

/* The kind of the responses that have no fault. */
static const struct kind *plain_kind(const char *method)
{
	for (int i = 0; i < NKIND; i++)
		if (kinds[i].is_head_request == !strcmp(method, "HEAD"))
			return &kinds[i];
	return NULL;
}

static void reply(const struct scripted_request *request,
		  struct scripted_reply *out)
{
	char whole[SCRIPTED_BYTES_MAX];

	if (!strcmp(request->id, plan.id) &&
	    !scripted_count_arrivals(plan.id)) {
		reply_as_planned(request, out);
		return;
	}
	if (plan.surplus == WITH_NEXT && request->uses_before &&
	    !strcmp(request->id_before, plan.id)) {
		format_response(plan.kind, plan.id, whole);
		memcpy(out->bytes, whole + plan.surplus_at, plan.surplus_len);
		out->len = plan.surplus_len;
	}
	out->runs = 1;
	out->len += format_response(plain_kind(request->method), request->id,
				    out->bytes + out->len);
}

static struct caller caller;
static int nfailed;
static int ncase;

static void new_id(char id[SCRIPTED_ID_MAX])
{
	static int serial;

	snprintf(id, SCRIPTED_ID_MAX, "q%07d", ++serial);
}

static int promises_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static int is_whole_body(const char *id, const struct caller_response *r)
{
	char body[100];
	int n = snprintf(body, sizeof(body), "answer to %s\n", id);

	return r->body_len == (size_t)n && !memcmp(r->body, body, (size_t)n);
}

/* The body that a success may have: the upstream's whole one, or what it sent
 * before it ended one that ends with the connection. */
static int is_own_body(const char *id, const struct caller_response *r)
{
	char whole[SCRIPTED_BYTES_MAX];
	const struct kind *k = plan.kind;
	size_t len;

	if (!strcmp(id, plan.id) && k->is_head_request)
		return !r->body_len;
	if (is_whole_body(id, r))
		return 1;
	if (strcmp(id, plan.id) != 0)
		return 0;
	len = format_response(k, id, whole);
	if (!k->has_body)
		return plan.len == len && !r->body_len;
	return k->ends_with_connection && plan.end == SCRIPTED_CLOSE &&
	       plan.len >= len - strlen("answer to q0000000\n") &&
	       r->body_len <= plan.len &&
	       !memcmp(r->body, whole + plan.len - r->body_len, r->body_len);
}

/* Returns the rule that a response breaks, or null. */
static const char *broken_rule(const char *path, const char *id,
			       const struct caller_response *r)
{
	int runs = scripted_count_runs(id);

	if (!strncmp(path, "/once/", 6) && runs > 1)
		return "ran twice";
	if (!r->status)
		return "no response";
	if (r->has_surplus)
		return "bytes behind the response";
	if (r->id[0] && strcmp(r->id, id) != 0)
		return "the response to another request";
	if (!r->is_complete)
		return NULL;
	if (runs &&
	    (promises_not_run(r->status) || !strcmp(r->outcome, "not-run")))
		return "ran, although the caller was told that it did not";
	if (r->has_stamp && r->status != plan.kind->status &&
	    r->status != PLAIN->status)
		return "another status than that of the upstream";
	if (r->status >= 300)
		return NULL;
	if (!r->has_stamp)
		return "a success without a stamp";
	if (!is_own_body(id, r))
		return "a success without the whole body";
	return NULL;
}

static void report(const char *path, const char *id, const char *rule,
		   const struct caller_response *r)
{
	nfailed++;
	if (nfailed > PRINTED_MAX)
		return;
	print_message("%s, %s hop, %zu bytes, end %d, surplus %d of %zu from "
		      "%zu: %s %s: status %d, body of %zu: %s\n",
		      plan.kind->name,
		      hop == FIXTURE_PEER ? "peer" : "upstream", plan.len,
		      plan.end, plan.surplus, plan.surplus_len, plan.surplus_at,
		      path, id, r->status, r->body_len, rule);
}

static struct caller_response send_request(const char *path, const char *id)
{
	struct caller_response r;
	const char *method = "GET";
	const char *rule;

	if (!strncmp(path, "/once/", 6))
		method = "POST";
	if (plan.kind->is_head_request && !strcmp(id, plan.id))
		method = "HEAD";
	caller_request(&caller, method, path, id,
		       plan.is_early ? REQUEST_BODY_BYTES : 4, &r);
	scripted_wait_idle();
	rule = broken_rule(path, id, &r);
	if (rule)
		report(path, id, rule, &r);
	return r;
}

/* A request without a fault must be answered, whatever came before it. */
static void expect_next_is_served(void)
{
	struct caller_response r;
	char id[SCRIPTED_ID_MAX];

	new_id(id);
	r = send_request("/safe/next", id);
	if (r.status != 200 || !is_whole_body(id, &r))
		report("/safe/next", id, "the next request is not served", &r);
}

static void plan_case(const struct kind *k)
{
	char whole[SCRIPTED_BYTES_MAX];

	ncase++;
	memset(&plan, 0, sizeof(plan));
	new_id(plan.id);
	plan.kind = k;
	plan.len = format_response(k, plan.id, whole);
	plan.end = k->ends_with_connection ? SCRIPTED_CLOSE : SCRIPTED_KEEP;
}

static size_t length_of(const struct kind *k)
{
	char whole[SCRIPTED_BYTES_MAX];

	return format_response(k, "q0000000", whole);
}

/* Whether a response of this kind has that many bytes, and the test goes on. */
static int may_go_on(const struct kind *k, size_t n)
{
	return n <= length_of(k) && nfailed < FAILURES_MAX;
}

static void begin(enum fixture_hop to)
{
	hop = to;
	nfailed = 0;
	ncase = 0;
	fixture_set_hop(to);
}

static void finish(void)
{
	print_message("%d cases, %d failures\n", ncase, nfailed);
	assert_int_equal(nfailed, 0);
	assert_int_equal(scripted_count_malformed(), 0);
}

/* Another VM that is full has the last word; other refusals lead to the next
 * one. */
static int expected_status(const struct kind *k)
{
	return hop == FIXTURE_PEER && !k->runs && k->status == 503
		       ? 503
		       : k->caller_status;
}

/* So that the other cases are not kept by rejecting everything. */
static void expect_whole_is_passed(enum fixture_hop to)
{
	begin(to);
	for (int i = 0; i < NKIND; i++) {
		struct caller_response r;
		int expected = expected_status(&kinds[i]);

		plan_case(&kinds[i]);
		r = send_request("/once/a", plan.id);
		assert_true(scripted_count_arrivals(plan.id) > 0);
		if (kinds[i].caller_status != ANY_STATUS &&
		    r.status != expected)
			report("/once/a", plan.id, "not passed on", &r);
		expect_next_is_served();
	}
	finish();
}

static void test_whole_response_is_not_passed_on(void **state)
{
	(void)state;
	expect_whole_is_passed(FIXTURE_UPSTREAM);
	expect_whole_is_passed(FIXTURE_PEER);
}

static void cut(const struct kind *k, size_t len, enum scripted_end end,
		const char *path)
{
	plan_case(k);
	plan.len = len;
	plan.end = end;
	send_request(path, plan.id);
	expect_next_is_served();
}

static void cut_at_every_byte(enum fixture_hop to)
{
	begin(to);
	for (int i = 0; i < NKIND; i++)
		for (size_t n = 0; may_go_on(&kinds[i], n); n++) {
			cut(&kinds[i], n, SCRIPTED_CLOSE, "/once/a");
			cut(&kinds[i], n, SCRIPTED_RESET, "/once/a");
			cut(&kinds[i], n, SCRIPTED_CLOSE, "/safe/a");
		}
	finish();
}

static void test_response_of_an_upstream_that_ends_early_is_passed_on(void **s)
{
	(void)s;
	cut_at_every_byte(FIXTURE_UPSTREAM);
}

static void test_response_of_a_vm_that_ends_early_is_passed_on(void **state)
{
	(void)state;
	cut_at_every_byte(FIXTURE_PEER);
}

static void cut_early_at_every_byte(enum fixture_hop to)
{
	begin(to);
	for (int i = 0; i < NKIND; i++)
		for (size_t n = 1; may_go_on(&kinds[i], n); n++) {
			enum scripted_end end = SCRIPTED_CLOSE;

			plan_case(&kinds[i]);
			if (n % 2)
				end = SCRIPTED_RESET;
			if (n < plan.len)
				plan.end = end;
			plan.len = n;
			plan.is_early = 1;
			send_request("/once/a", plan.id);
			expect_next_is_served();
		}
	finish();
}

static void test_early_response_that_ends_early_is_passed_on(void **state)
{
	(void)state;
	cut_early_at_every_byte(FIXTURE_UPSTREAM);
	cut_early_at_every_byte(FIXTURE_PEER);
}

/* The next request follows at once, so that the bytes arrive before it, while
 * it is sent, or after it. */
static void repeat(const struct kind *k, size_t at, size_t len, int when)
{
	char id[SCRIPTED_ID_MAX];

	plan_case(k);
	plan.surplus = when;
	plan.surplus_at = at;
	plan.surplus_len = len;
	send_request("/once/a", plan.id);
	new_id(id);
	send_request("/once/b", id);
	expect_next_is_served();
}

static void repeat_at_every_byte(enum fixture_hop to, int when)
{
	begin(to);
	for (int i = 0; i < NKIND; i++) {
		size_t len = length_of(&kinds[i]);

		if (kinds[i].ends_with_connection || kinds[i].is_head_request)
			continue;
		for (size_t n = 1; may_go_on(&kinds[i], n); n++) {
			repeat(&kinds[i], 0, n, when);
			repeat(&kinds[i], len - n, n, when);
		}
	}
	finish();
}

static void test_surplus_bytes_answer_the_next_request(void **state)
{
	(void)state;
	repeat_at_every_byte(FIXTURE_UPSTREAM, AT_ONCE);
	repeat_at_every_byte(FIXTURE_PEER, AT_ONCE);
}

static void test_late_bytes_answer_the_next_request(void **state)
{
	(void)state;
	repeat_at_every_byte(FIXTURE_UPSTREAM, LATE);
}

static void test_earlier_response_answers_the_next_request(void **state)
{
	(void)state;
	repeat_at_every_byte(FIXTURE_UPSTREAM, WITH_NEXT);
	repeat_at_every_byte(FIXTURE_PEER, WITH_NEXT);
}

/* The request itself comes again over the connection on which it was refused:
 * its id does not tell a copy of the refusal from its own response. */
static void test_refusal_sent_again_answers_the_retry(void **state)
{
	(void)state;
	begin(FIXTURE_UPSTREAM);
	for (int i = 0; i < NKIND; i++) {
		if (kinds[i].runs)
			continue;
		for (size_t n = 1; may_go_on(&kinds[i], n); n++) {
			plan_case(&kinds[i]);
			plan.surplus = WITH_NEXT;
			plan.surplus_len = n;
			send_request("/once/a", plan.id);
			plan.surplus = NO_SURPLUS;
			expect_next_is_served();
		}
	}
	finish();
}

static int setup(void **state)
{
	(void)state;
	plan.kind = PLAIN;
	caller.port = fixture_start(scripted_start(reply));
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	caller_finish(&caller);
	fixture_stop();
	scripted_stop();
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_whole_response_is_not_passed_on),
		cmocka_unit_test(
			test_response_of_an_upstream_that_ends_early_is_passed_on),
		cmocka_unit_test(
			test_response_of_a_vm_that_ends_early_is_passed_on),
		cmocka_unit_test(
			test_early_response_that_ends_early_is_passed_on),
		cmocka_unit_test(test_surplus_bytes_answer_the_next_request),
		cmocka_unit_test(test_late_bytes_answer_the_next_request),
		cmocka_unit_test(
			test_earlier_response_answers_the_next_request),
		cmocka_unit_test(test_refusal_sent_again_answers_the_retry),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
