#include "service_cases.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "responses.h"
#include "service_fixture.h"
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* %1$s is the id of the request, %2$s the line that repeats the attempt's. */
#define ID "X-Request-Id: %1$s\r\n"
#define NAMED ID "%2$s"
#define OK RESPONSE_OK
#define BODY RESPONSE_BODY
#define LENGTH "Content-Length: 19\r\n"
#define EMPTY "Content-Length: 0\r\n\r\n"
#define NOT_RUN "Request-Outcome: not-run\r\n"

/* Pause before surplus bytes that come late, in ms. */
#define LATE_MS 2

/* Failures that are printed, and those that end a series. */
#define PRINTED_MAX 8
#define FAILURES_MAX 40

const struct service_kind service_kinds[] = {
	{"length", 0, 1, 1, 0, OK NAMED LENGTH "\r\n" BODY},
	{"chunked", 0, 1, 1, 0,
	 OK NAMED "Transfer-Encoding: chunked\r\n\r\n13\r\n" BODY
		  "\r\n0\r\n\r\n"},
	{"until close", 0, 1, 1, 1, OK NAMED "\r\n" BODY},
	{"empty", 0, 1, 0, 0, OK NAMED EMPTY},
	{"204", 0, 1, 0, 0, "HTTP/1.1 204 No Content\r\n" NAMED "\r\n"},
	{"HEAD", 1, 1, 0, 0, OK LENGTH NAMED "\r\n"},
	{"after 103", 0, 1, 1, 0,
	 "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" NOT_RUN
	 "\r\n" OK NAMED LENGTH "\r\n" BODY},
	{"500", 0, 1, 1, 0, "HTTP/1.1 500 Failed\r\n" NAMED LENGTH "\r\n" BODY},
	{"503 that ran", 0, 1, 1, 0,
	 "HTTP/1.1 503 Busy\r\n" LENGTH NAMED "\r\n" BODY},
	{"refusal", 0, 0, 0, 0, "HTTP/1.1 503 Full\r\n" NAMED NOT_RUN EMPTY},
	{"refusal with a body", 0, 0, 1, 0,
	 "HTTP/1.1 503 Full\r\n" NOT_RUN LENGTH NAMED "\r\n" BODY},
	{"two ids", 0, 1, 1, 0,
	 OK "Attempt-Id: another\r\n" NAMED LENGTH "\r\n" BODY},
	{"503 of two outcomes", 0, 1, 1, 0,
	 "HTTP/1.1 503 Busy\r\nRequest-Outcome: ran\r\n" NOT_RUN LENGTH NAMED
	 "\r\n" BODY},
	{"408 for nobody", 0, 1, 0, 0, "HTTP/1.1 408 Timeout\r\n" EMPTY},
};

const int service_nkind = (int)(sizeof(service_kinds) / sizeof(*service_kinds));

struct service_fault service_fault;
struct caller service_caller;

/* Whether the upstream repeats the attempt's id. */
static int echoes;
static int nid;
static int first_id;
/* Failures of the series under way, and of the whole test. */
static int nfailed;
static int nfailed_of_test;
static int ncase;

static size_t format(const struct service_kind *k, const char *id,
		     const char *attempt_id, char *out)
{
	char line[100] = "";

	if (echoes)
		snprintf(line, sizeof(line), "Attempt-Id: %s\r\n", attempt_id);
	return (size_t)snprintf(out, SCRIPTED_BYTES_MAX, k->text, id, line);
}

static void reply_as_planned(const struct scripted_request *request,
			     struct scripted_reply *out)
{
	char whole[SCRIPTED_BYTES_MAX];
	const char *surplus = whole + service_fault.surplus_at;
	size_t len = format(service_fault.kind, service_fault.id,
			    request->attempt_id, out->bytes);

	strcpy(service_fault.attempt_id, request->attempt_id);
	format(service_fault.surplus_kind, service_fault.id,
	       request->attempt_id, whole);
	out->runs = service_fault.kind->runs;
	out->end = service_fault.end;
	out->len = service_fault.len < len ? service_fault.len : len;
	if (service_fault.surplus == SERVICE_AT_ONCE) {
		memcpy(out->bytes + out->len, surplus,
		       service_fault.surplus_len);
		out->len += service_fault.surplus_len;
	} else if (service_fault.surplus == SERVICE_LATE) {
		memcpy(out->then, surplus, service_fault.surplus_len);
		out->then_len = service_fault.surplus_len;
		out->then_delay_ms = LATE_MS;
	}
}

static const struct service_kind *
plain_kind(const struct scripted_request *request)
{
	return strcmp(request->method, "HEAD") ? &service_kinds[0]
					       : &service_kinds[5];
}

static void reply(const struct scripted_request *request,
		  struct scripted_reply *out)
{
	char whole[SCRIPTED_BYTES_MAX];

	if (!strcmp(request->id, service_fault.id) &&
	    !scripted_count_arrivals(service_fault.id)) {
		reply_as_planned(request, out);
		return;
	}
	if (service_fault.surplus == SERVICE_WITH_NEXT &&
	    request->uses_before &&
	    !strcmp(request->id_before, service_fault.id)) {
		format(service_fault.surplus_kind, service_fault.id,
		       service_fault.attempt_id, whole);
		memcpy(out->bytes, whole + service_fault.surplus_at,
		       service_fault.surplus_len);
		out->len = service_fault.surplus_len;
	}
	out->runs = 1;
	out->len += format(plain_kind(request), request->id,
			   request->attempt_id, out->bytes + out->len);
}

static void format_id(char id[SCRIPTED_ID_MAX], int n)
{
	snprintf(id, SCRIPTED_ID_MAX, "q%07d", n);
}

static int is_once(const char *path)
{
	return !strncmp(path, "/once/", 6);
}

static int is_own_body(const char *id, const struct caller_response *r)
{
	char body[100];
	int n = snprintf(body, sizeof(body), "answer to %s\n", id);
	size_t expected = (size_t)n;

	if (!strcmp(id, service_fault.id) &&
	    service_fault.kind->is_head_request)
		return !r->body_len;
	if (r->body_len == expected && !memcmp(r->body, body, expected))
		return 1;
	if (strcmp(id, service_fault.id) != 0)
		return 0;
	if (!service_fault.kind->has_body)
		return !r->body_len;
	return service_fault.kind->ends_with_connection &&
	       service_fault.end == SCRIPTED_CLOSE && r->body_len < expected &&
	       !memcmp(r->body, body, r->body_len);
}

/* Rules that hold where responses can be told apart. */
static const char *broken_identity(const char *id,
				   const struct caller_response *r)
{
	if (r->id[0] && strcmp(r->id, id) != 0)
		return "the response to another request";
	if (r->status == 408 && strcmp(id, service_fault.id) != 0)
		return "a response to nobody";
	if (!strcmp(r->outcome, "ran") && !scripted_count_runs(id))
		return "said to have run, and did not";
	if (r->status < 300 && strcmp(r->id, id) != 0)
		return "a success without the upstream's fields";
	if (r->status < 300 && !is_own_body(id, r))
		return "a success without the whole body";
	return NULL;
}

static const char *broken_rule(const char *path, const char *id,
			       const struct caller_response *r)
{
	int runs = scripted_count_runs(id);

	if (is_once(path) && runs > 1)
		return "ran twice";
	if (!r->status)
		return "no response";
	if (r->has_surplus)
		return "bytes behind the response";
	if (runs && !strcmp(r->outcome, "not-run"))
		return "ran, although the caller was told that it did not";
	if (!r->is_complete || (!echoes && !is_once(path)))
		return NULL;
	return broken_identity(id, r);
}

static void report(const char *path, const char *id, const char *rule,
		   const struct caller_response *r)
{
	if (nfailed++ >= PRINTED_MAX)
		return;
	print_message("%s, %s, %zu bytes, end %d, surplus %d of %zu from %zu: "
		      "%s %s: status %d, %s, body of %zu: %s\n",
		      service_fault.kind->name, echoes ? "named" : "unnamed",
		      service_fault.len, service_fault.end,
		      service_fault.surplus, service_fault.surplus_len,
		      service_fault.surplus_at, path, id, r->status, r->outcome,
		      r->body_len, rule);
}

struct caller_response service_request(const char *path, const char *id)
{
	struct caller_response r;
	const char *method = is_once(path) ? "POST" : "GET";
	const char *rule;

	if (service_fault.kind->is_head_request &&
	    !strcmp(id, service_fault.id))
		method = "HEAD";
	caller_request(&service_caller, method, path, id, 4, &r);
	scripted_wait_idle();
	rule = broken_rule(path, id, &r);
	if (rule)
		report(path, id, rule, &r);
	return r;
}

struct caller_response service_send_next(const char *path)
{
	char id[SCRIPTED_ID_MAX];

	format_id(id, ++nid);
	return service_request(path, id);
}

void service_plan(const struct service_kind *k)
{
	ncase++;
	memset(&service_fault, 0, sizeof(service_fault));
	format_id(service_fault.id, ++nid);
	service_fault.kind = k;
	service_fault.surplus_kind = k;
	service_fault.len = SCRIPTED_BYTES_MAX;
	service_fault.end =
		k->ends_with_connection ? SCRIPTED_CLOSE : SCRIPTED_KEEP;
}

void service_expect_served(const char *path)
{
	struct caller_response r;

	service_send_next(path);
	r = service_send_next(path);
	if (r.status != 200)
		report(path, "next", "the next requests are not served", &r);
}

void service_set_echoes(int upstream_echoes)
{
	echoes = upstream_echoes;
}

void service_begin(int upstream_echoes)
{
	nfailed = 0;
	ncase = 0;
	first_id = nid + 1;
	service_plan(&service_kinds[0]);
	echoes = upstream_echoes;
	service_expect_served("/safe/a");
}

void service_finish(void)
{
	char id[SCRIPTED_ID_MAX];
	int false_releases = 0;

	for (int i = first_id; i <= nid; i++) {
		format_id(id, i);
		false_releases += service_claim_released(id) &&
				  scripted_count_runs(id) > 0;
	}
	print_message("%d cases, %d failures, %d false releases\n", ncase,
		      nfailed, false_releases);
	nfailed_of_test += nfailed + false_releases;
}

void service_expect_no_failures(void)
{
	int n = nfailed_of_test;

	nfailed_of_test = 0;
	assert_int_equal(n, 0);
	assert_int_equal(scripted_count_malformed(), 0);
}

size_t service_length(const struct service_kind *k)
{
	char whole[SCRIPTED_BYTES_MAX];

	return format(k, "q0000000", "0123456789abcdef", whole);
}

int service_may_go_on(const struct service_kind *k, size_t n)
{
	return n <= service_length(k) && nfailed < FAILURES_MAX;
}

int service_setup(void **state)
{
	(void)state;
	service_fault.kind = &service_kinds[0];
	service_caller.port = service_start(scripted_start(reply));
	return 0;
}

int service_teardown(void **state)
{
	(void)state;
	caller_finish(&service_caller);
	service_stop();
	scripted_stop();
	return 0;
}
