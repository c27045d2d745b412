#ifndef PROXY_SERVICE_H
#define PROXY_SERVICE_H

#include "request.h"

/*
 * Whose response it is, for requests of service files. Each attempt has an id
 * of its own, which upstreams repeat in their responses if they can. A
 * connection over which a response has named its attempt carries such responses
 * only.
 */

/** Field with the id of an attempt, in requests and responses. */
#define SERVICE_ATTEMPT_HEADER "Attempt-Id"

/** Gives the attempt that begins an id. */
void service_name_attempt(struct proxy_request *r);

/** Adds the fields for the upstream. */
void service_add_headers(struct proxy_request *r, int64_t remaining_ms);

/** Sets from which connections libcurl may choose. */
void service_set_connection_options(struct proxy_request *r);

/** Whether the attempt may be sent over a connection that has carried others.
 */
int service_may_reuse(const struct proxy_request *r, uint64_t endpoint_hash);

/** Reads a field of the response that is meant for the proxy. */
void service_parse_header(struct proxy_request *r, const char *line);

/** Notes at the end of the final head whether its upstream names attempts.
 * Returns 0, or -1 if the response is not this attempt's, or may be another's
 * and says that it did not run. */
int service_check_response(struct proxy_request *r);

#endif
