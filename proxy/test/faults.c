#include "faults.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

/* Length of a request's body: its upstream may answer before it has all. */
#define REQUEST_BODY_BYTES 3000

/* Pause before surplus bytes that come late, in ms. */
#define LATE_MS 2

/* Failures that are printed, and those that end a series. */
#define PRINTED_MAX 8
#define FAILURES_MAX 40

struct fault fault;

static enum fixture_hop hop;
static struct caller caller;
static int nfailed;
static int ncase;

static size_t format_response(const struct response_kind *k, const char *id,
			      char *out)
{
	return response_format(k, id, hop == FIXTURE_PEER, out,
			       SCRIPTED_BYTES_MAX);
}

/* The first arrival of the case's first request. */
static void reply_as_planned(const struct scripted_request *request,
			     struct scripted_reply *out)
{
	char whole[SCRIPTED_BYTES_MAX];

	format_response(fault.kind, request->id, whole);
	memcpy(out->bytes, whole, fault.len);
	out->len = fault.len;
	out->end = fault.end;
	out->is_early = fault.is_early;
	out->end_delay_ms = fault.end_delay_ms;
	out->fill_len = fault.fill_len;
	out->runs = fault.kind->runs;
	if (fault.surplus == FAULT_AT_ONCE) {
		memcpy(out->bytes + out->len, whole + fault.surplus_at,
		       fault.surplus_len);
		out->len += fault.surplus_len;
	} else if (fault.surplus == FAULT_LATE) {
		memcpy(out->then, whole + fault.surplus_at, fault.surplus_len);
		out->then_len = fault.surplus_len;
		out->then_delay_ms = LATE_MS;
	} else if (fault.surplus == FAULT_IN_TWO_PARTS) {
		memcpy(out->bytes + out->len, whole, fault.surplus_at);
		out->len += fault.surplus_at;
	}
}

static void reply(const struct scripted_request *request,
		  struct scripted_reply *out)
{
	char whole[SCRIPTED_BYTES_MAX];

	if (!strcmp(request->id, fault.id) &&
	    (fault.is_repeated || !scripted_count_arrivals(fault.id))) {
		reply_as_planned(request, out);
		return;
	}
	if ((fault.surplus == FAULT_WITH_NEXT ||
	     fault.surplus == FAULT_IN_TWO_PARTS) &&
	    request->uses_before && !strcmp(request->id_before, fault.id)) {
		format_response(fault.kind, fault.id, whole);
		memcpy(out->bytes, whole + fault.surplus_at, fault.surplus_len);
		out->len = fault.surplus_len;
	}
	out->runs = 1;
	out->len += format_response(response_plain(request->method),
				    request->id, out->bytes + out->len);
}

void fault_new_id(char id[SCRIPTED_ID_MAX])
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
	const struct response_kind *k = fault.kind;
	size_t len;

	if (!strcmp(id, fault.id) && k->is_head_request)
		return !r->body_len;
	if (is_whole_body(id, r))
		return 1;
	if (strcmp(id, fault.id) != 0)
		return 0;
	len = format_response(k, id, whole);
	if (!k->has_body)
		return fault.len == len && !r->body_len;
	/* A server that closes under a long body resets the connection. */
	return k->ends_with_connection && fault.end == SCRIPTED_CLOSE &&
	       !fault.body_bytes &&
	       fault.len >= len - strlen("answer to q0000000\n") &&
	       r->body_len <= fault.len &&
	       !memcmp(r->body, whole + fault.len - r->body_len, r->body_len);
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
	if (r->has_stamp && r->status != fault.kind->status &&
	    r->status != response_plain("GET")->status)
		return "another status than that of the upstream";
	if (r->status >= 300)
		return NULL;
	if (!r->has_stamp)
		return "a success without a stamp";
	if (!is_own_body(id, r))
		return "a success without the whole body";
	return NULL;
}

void fault_report(const char *path, const char *id, const char *rule,
		  const struct caller_response *r)
{
	nfailed++;
	if (nfailed > PRINTED_MAX)
		return;
	print_message("%s, %s hop, %zu bytes, end %d, surplus %d of %zu from "
		      "%zu: %s %s: status %d, body of %zu: %s\n",
		      fault.kind->name,
		      hop == FIXTURE_PEER ? "peer" : "upstream", fault.len,
		      fault.end, fault.surplus, fault.surplus_len,
		      fault.surplus_at, path, id, r->status, r->body_len, rule);
}

struct caller_response fault_request(const char *path, const char *id)
{
	struct caller_response r;
	size_t body_bytes = fault.is_early ? REQUEST_BODY_BYTES : 4;
	const char *method = "GET";
	const char *rule;

	if (!strncmp(path, "/once/", 6))
		method = "POST";
	if (fault.kind->is_head_request && !strcmp(id, fault.id))
		method = "HEAD";
	if (!strcmp(id, fault.id) && fault.body_bytes)
		body_bytes = fault.body_bytes;
	caller.is_http_1_0 = !strcmp(id, fault.id) && fault.is_http_1_0;
	caller.sends_chunks = !strcmp(id, fault.id) && fault.is_sent_in_chunks;
	caller_request(&caller, method, path, id, body_bytes, &r);
	scripted_wait_idle();
	rule = broken_rule(path, id, &r);
	if (rule)
		fault_report(path, id, rule, &r);
	return r;
}

void fault_expect_next_served(void)
{
	struct caller_response r;
	char id[SCRIPTED_ID_MAX];

	fault_new_id(id);
	r = fault_request("/safe/next", id);
	if (r.status != 200 || !is_whole_body(id, &r))
		fault_report("/safe/next", id, "the next request is not served",
			     &r);
}

void fault_plan(const struct response_kind *k)
{
	char whole[SCRIPTED_BYTES_MAX];

	ncase++;
	memset(&fault, 0, sizeof(fault));
	fault_new_id(fault.id);
	fault.kind = k;
	fault.len = format_response(k, fault.id, whole);
	fault.end = k->ends_with_connection ? SCRIPTED_CLOSE : SCRIPTED_KEEP;
}

size_t fault_length(const struct response_kind *k)
{
	char whole[SCRIPTED_BYTES_MAX];

	return format_response(k, "q0000000", whole);
}

int fault_may_go_on(const struct response_kind *k, size_t n)
{
	return n <= fault_length(k) && nfailed < FAILURES_MAX;
}

void fault_begin(enum fixture_hop to)
{
	hop = to;
	nfailed = 0;
	ncase = 0;
	fixture_set_hop(to);
}

void fault_finish(void)
{
	print_message("%d cases, %d failures\n", ncase, nfailed);
	assert_int_equal(nfailed, 0);
	assert_int_equal(scripted_count_malformed(), 0);
}

int fault_setup(void **state)
{
	(void)state;
	fault.kind = response_plain("GET");
	caller.port = fixture_start(scripted_start(reply));
	return 0;
}

int fault_teardown(void **state)
{
	(void)state;
	caller_finish(&caller);
	fixture_stop();
	scripted_stop();
	return 0;
}
