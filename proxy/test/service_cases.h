#ifndef PROXY_TEST_SERVICE_CASES_H
#define PROXY_TEST_SERVICE_CASES_H

#include "caller.h"
#include "scripted.h"

/*
 * Cases with one fault each, as in faults.h, for requests of a service file.
 * The scripted upstream repeats the id of an attempt, or does not.
 */

/** When a part of the first response is sent once more. */
enum service_surplus {
	SERVICE_NO_SURPLUS,
	SERVICE_AT_ONCE,
	SERVICE_LATE,
	SERVICE_WITH_NEXT
};

struct service_kind {
	const char *name;
	int is_head_request;
	int runs;
	int has_body;
	int ends_with_connection;
	const char *text;
};

extern const struct service_kind service_kinds[];
extern const int service_nkind;

/** The case; changed only while no request is under way. */
struct service_fault {
	const struct service_kind *kind;
	char id[SCRIPTED_ID_MAX];
	char attempt_id[SCRIPTED_ID_MAX];
	size_t len;
	enum scripted_end end;
	enum service_surplus surplus;
	/** What is sent once more; a response of another kind if an upstream
	 * answers twice. */
	const struct service_kind *surplus_kind;
	size_t surplus_at;
	size_t surplus_len;
};

extern struct service_fault service_fault;

extern struct caller service_caller;

/** Starts the scripted server and the proxy; fixtures of a cmocka group. */
int service_setup(void **state);
int service_teardown(void **state);

/** Begins a series of cases with an upstream that repeats the ids of attempts,
 * or does not. */
void service_begin(int upstream_echoes);

/** Changes whether the upstream repeats them from here on. */
void service_set_echoes(int upstream_echoes);

/** Ends the series and prints its failures. */
void service_finish(void);

/** Fails the test if a case of its series failed. */
void service_expect_no_failures(void);

/** Begins a case with a response of this kind, so far without a fault. */
void service_plan(const struct service_kind *k);

/** Length of a response of this kind. */
size_t service_length(const struct service_kind *k);

/** Whether a response of this kind has that many bytes, and not too many cases
 * have failed. */
int service_may_go_on(const struct service_kind *k, size_t n);

/** Sends a request and checks the response; paths /once/ are sent by POST. */
struct caller_response service_request(const char *path, const char *id);

/** The same with an id of its own. */
struct caller_response service_send_next(const char *path);

/** Whatever came before, the next requests are served; the response to the
 * second of them is certain to be its own. */
void service_expect_served(const char *path);

#endif
