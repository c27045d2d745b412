#ifndef PROXY_UPSTREAM_H
#define PROXY_UPSTREAM_H

#include "request.h"

/** Returns the shared statistics of an upstream. */
struct proxy_upstream_stats *upstream_stats(const struct proxy_request *r,
					    const struct steer_upstream *u);

/** Returns the shared state of the request's service. */
struct proxy_service_stats *
upstream_service_stats(const struct proxy_request *r);

/** Chooses an upstream of the request's region and acquires a slot there.
 * Returns 1, or 0 if none takes new work. */
int upstream_reserve(struct proxy_request *r);

/** Releases the upstream's slot, if the request holds one. */
void upstream_release(struct proxy_request *r);

/** Updates the statistics after an attempt; a success also adds to the retry
 * budget. */
void upstream_record_result(struct proxy_request *r, int failed);

#endif
