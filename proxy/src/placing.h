#ifndef PROXY_PLACING_H
#define PROXY_PLACING_H

#include "request.h"
#include <primroselead/place.h>

/**
 * Chooses an upstream for a routed request by the newest view and acquires a
 * slot there: sets the view, service, region and upstream. Returns 1; or 0 if
 * no upstream can take it, with retry_after_ms set.
 */
int placing_reserve(struct proxy_request *r);

/** Finds the request's service in the newest view. Returns 1, or 0 if it is not
 * there. */
int placing_find_service(struct proxy_request *r);

/** Fills in what the order of waiting requests depends on. The service must be
 * known. */
void placing_fill_order(const struct proxy_request *r, struct order_entry *out);

/** Updates the statistics of the upstream and service after an attempt; logs an
 * attempt that did not succeed. */
void placing_record_result(struct proxy_request *r, enum place_result result);

/** Records the load and the keep-alive timeout announced in the response
 * headers. */
void placing_record_load(struct proxy_request *r);

/** Withdraws one retry from the service's budget. Returns 1, or 0 if the budget
 * is spent. */
int placing_take_retry(struct proxy_request *r);

/** Returns the maximum idle time, in s, of a connection to the request's
 * upstream that may still be reused. */
long placing_idle_max_s(const struct proxy_request *r);

#endif
