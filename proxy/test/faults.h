#ifndef PROXY_TEST_FAULTS_H
#define PROXY_TEST_FAULTS_H

#include "caller.h"
#include "fixture.h"
#include "responses.h"
#include "scripted.h"

/*
 * Cases with one fault each: the scripted server ends the response to the first
 * request early, or sends a part of it once more. Every response that the
 * caller gets is checked: whole, its own, at most once, and "not run" only if
 * it did not run.
 */

/** When a part of the first response is sent once more. */
enum fault_surplus {
	FAULT_NO_SURPLUS,
	/** Along with it. */
	FAULT_AT_ONCE,
	/** Some ms later. */
	FAULT_LATE,
	/** As the next request over the connection arrives, before its
	   response. */
	FAULT_WITH_NEXT,
	/** What comes before "surplus_at" along with it, the rest with the next
	 * request. */
	FAULT_IN_TWO_PARTS,
};

/** The fault of the case; changed only while no request is under way. */
struct fault {
	/** Kind of the first response, and how many of its bytes are sent. */
	const struct response_kind *kind;
	size_t len;
	enum scripted_end end;
	/** The response is sent before the request's body is read. */
	int is_early;
	/** Length of the request's body; 0 for the usual one. */
	size_t body_bytes;
	/** Time before the end, while the body is still written, in ms. */
	int end_delay_ms;
	/** Bytes that follow those of the response. */
	size_t fill_len;
	/** How the first request is sent. */
	int is_http_1_0;
	int is_sent_in_chunks;
	/** Retries get the same response. */
	int is_repeated;
	/** Bytes of the first response that are sent once more. */
	enum fault_surplus surplus;
	size_t surplus_at;
	size_t surplus_len;
	/** Id of the first request. */
	char id[SCRIPTED_ID_MAX];
};

extern struct fault fault;

/** Starts the scripted server and the proxy; fixtures of a cmocka group. */
int fault_setup(void **state);
int fault_teardown(void **state);

/** Begins a series of cases, with responses from an upstream or another VM. */
void fault_begin(enum fixture_hop to);

/** Ends the series; the test fails if a case did. */
void fault_finish(void);

/** Begins a case with a response of this kind, so far without a fault. */
void fault_plan(const struct response_kind *k);

/** Length of a response of this kind. */
size_t fault_length(const struct response_kind *k);

/** Whether a response of this kind has that many bytes, and not too many cases
 * have failed. */
int fault_may_go_on(const struct response_kind *k, size_t n);

void fault_new_id(char id[SCRIPTED_ID_MAX]);

/** Sends a request and checks the response. */
struct caller_response fault_request(const char *path, const char *id);

/** Reports that the case breaks a rule. */
void fault_report(const char *path, const char *id, const char *rule,
		  const struct caller_response *r);

/** A request without a fault must be served, whatever came before it. */
void fault_expect_next_served(void);

#endif
