#ifndef PROXY_PLACE_H
#define PROXY_PLACE_H

#include "request.h"

/** How an attempt at an upstream ended. */
enum place_result {
	/** It answered for itself. */
	PLACE_ANSWERED,
	/** It answered with a failure. */
	PLACE_FAILED,
	/** It refused by contract: the request did not run. */
	PLACE_REFUSED,
	/** It could not be reached, or did not speak the protocol. */
	PLACE_BROKEN,
};

/**
 * Places a routed request by the newest view and takes a slot there: sets the
 * view, the service, the region and the upstream. Returns 1; or 0 with the
 * time after which a caller may come back.
 */
int place_take(struct proxy_request *r);

/** Learns from an attempt that has ended. */
void place_learn(struct proxy_request *r, enum place_result result);

/** Learns from an answer's headers. */
void place_heard(struct proxy_request *r);

/** Takes a repeated send from the service's budget. Returns 1 or 0. */
int place_may_repeat(struct proxy_request *r);

/** Idle time in s after which a connection to the request's upstream must not
 * be used any more. */
long place_idle_max_s(const struct proxy_request *r);

#endif
