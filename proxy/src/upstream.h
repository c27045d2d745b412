#ifndef PROXY_UPSTREAM_H
#define PROXY_UPSTREAM_H

#include "request.h"

/** Counters of an upstream. */
struct proxy_upstream_stats *upstream_stats(const struct proxy_request *r,
					    const struct steer_upstream *u);

/** What all threads share for the request's service. */
struct proxy_service_stats *
upstream_service_stats(const struct proxy_request *r);

/** Chooses an upstream of the request's region and takes a slot there.
 * Returns 1, or 0 if none takes new work. */
int upstream_reserve(struct proxy_request *r);

/** Gives the slot back. */
void upstream_release(struct proxy_request *r);

/** Learns from an attempt that has ended. */
void upstream_record_result(struct proxy_request *r, int failed);

#endif
