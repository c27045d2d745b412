#ifndef PROXY_ATTEMPT_H
#define PROXY_ATTEMPT_H

#include "request.h"

/** Sets up the attempt's transfer: target, headers, bodies, time limits. */
void request_setup_transfer(struct proxy_request *r);

/** Starts the transfer of the attempt, or gives the request up. */
void request_start_transfer(struct proxy_request *r);

/** Frees what the transfer used; it has ended or been cancelled. */
void request_cleanup_transfer(struct proxy_request *r);

/** The transfer has ended: answers the caller or makes another attempt. */
void request_attempt_done(struct fetch *f, CURLcode result);

/** The answer's headers may go to the caller: notes what they say of whether
 * the request ran. */
void request_accept_response(struct proxy_request *r);

/** Whether another attempt may be made; takes it from the budget if so. */
int request_may_retry(struct proxy_request *r, int did_not_run);

/** Answers a routed request for its upstreams. A status that promises "not
 * run" is given only if that is sure for all attempts. */
void request_fail_routed(struct proxy_request *r, const char *cause);

#endif
