#ifndef PROXY_SUSPECTS_H
#define PROXY_SUSPECTS_H

#include <curl/curl.h>

/*
 * Routed requests under which upstreams have ended: connects them to the
 * package quarantine, whose table all threads share.
 */

struct proxy_news;
struct proxy_request;

/** What a request's suspicion requires of it; empty when zeroed. */
struct request_suspicion {
	/** Nothing is sent before the body is known, since a suspect may differ
	 * from it by that alone. */
	int awaits_body;
	/** Two upstreams or more have ended under it: no equal request is sent
	 * while it is under way. */
	int is_alone;
	/** An upstream's connection broke before the body was known. */
	struct proxy_news *unsent;
};

/** Starts the request, unless it waits for its body or is rejected. */
void suspects_dispatch(struct proxy_request *r);

/** Handles that more of the body has come, or its end. */
void suspects_body_came(struct proxy_request *r);

/** Notes how an attempt at an upstream failed. */
void suspects_note_failure(struct proxy_request *r, CURLcode result);

/** Notes that an upstream has answered the request whole. */
void suspects_note_answer(struct proxy_request *r);

/** Whether the request may be sent to another upstream after one broke. */
int suspects_may_retry(struct proxy_request *r);

/** Ends what the request's suspicion holds. */
void suspects_release(struct proxy_request *r);

#endif
