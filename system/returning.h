#ifndef SYSTEM_RETURNING_H
#define SYSTEM_RETURNING_H

#include "routes.h"

/*
 * Upstreams of service "s" that end by themselves under a request and come back
 * under another id, beside the fixture of routes.h; and callers that send such
 * a request again and again.
 */

/** Upstreams that are kept running. */
#define RETURNING_UPSTREAMS 4

/** Time in ms after the third end in which all VMs must know. */
#define RETURNING_KNOWN_MS 4000

/** Sendings that may still reach an upstream after that. */
#define RETURNING_EXTRA_MAX 3

/** Ends of upstreams so far. */
extern int returning_ends;

/** Starts the upstreams in place of those of the fixture. */
void returning_start(void);

/** Starts the fixture with them; for a cmocka test group. */
int returning_setup(void **state);

/** Waits, and meanwhile starts the upstreams again that have ended, each after
 * a while and under another id. */
void returning_wait(int ms);

/** A request that may end the upstreams that run it. */
struct returning_request {
	const char *method;
	const char *path;
	/** Null for none. */
	const char *body;
	/** A further header line, or null. */
	const char *header;
	/** Does not end the upstream. */
	int is_harmless;
};

/** Sends the request, under a new id, to VM n. */
struct http_response returning_send(int n, const struct returning_request *q);

/** Sends the request at both VMs in turn until three more upstreams have ended,
 * and on for RETURNING_KNOWN_MS. Returns how many have ended since the call
 * began. */
int returning_send_until_known(const struct returning_request *q);

/** Sends the request "count" times, at both VMs in turn, each followed by a
 * request that any upstream serves. Returns how many upstreams have ended, and
 * the number of those others that were not served. */
int returning_send_more(const struct returning_request *q, int count,
			int *not_served);

#endif
