#ifndef PROXY_PLACING_H
#define PROXY_PLACING_H

#include "request.h"
#include <primroselead/place.h>

/**
 * Places a routed request by the newest view and takes a slot there: sets the
 * view, the service, the region and the upstream. Returns 1; or 0 with the
 * time after which a caller may come back.
 */
int placing_reserve(struct proxy_request *r);

/** Learns from an attempt that has ended. */
void placing_record_result(struct proxy_request *r, enum place_result result);

/** Learns from an answer's headers. */
void placing_record_load(struct proxy_request *r);

/** Takes a repeated send from the service's budget. Returns 1 or 0. */
int placing_take_retry(struct proxy_request *r);

/** Idle time in s after which a connection to the request's upstream must not
 * be used any more. */
long placing_idle_max_s(const struct proxy_request *r);

#endif
