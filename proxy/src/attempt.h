#ifndef PROXY_ATTEMPT_H
#define PROXY_ATTEMPT_H

#include "request.h"

/** Maximum idle time in s of a connection reused for an at-most-once request:
 * the upstream may close a longer idle one while the request is being sent, and
 * then it is unknown whether that ran. */
#define ONCE_IDLE_MAX_S 1L

/** Sets the transfer's libcurl options: target, headers, bodies, timeouts. */
void request_setup_transfer(struct proxy_request *r);

/** Starts the transfer of the current attempt; fails the request if the HTTP
 * client cannot start it. */
void request_start_transfer(struct proxy_request *r);

/** Frees the resources of a transfer that has ended or been cancelled. */
void request_cleanup_transfer(struct proxy_request *r);

/** Callback for the end of a transfer: passes the response on, retries, or
 * fails the request. */
void request_attempt_done(struct fetch *f, CURLcode result);

/** Accepts the response headers for the caller and sets the request's outcome
 * from them. */
void request_accept_response(struct proxy_request *r);

/** Whether a transfer that ends now has ended by the request's deadline. */
int request_timed_out(const struct proxy_request *r);

/** Starts an attempt at the reserved upstream or VM. */
void request_begin_attempt(struct proxy_request *r);

/** The attempt's transfer waits for the caller to send or to read. */
void request_await_caller(struct proxy_request *r);

/** The caller has sent or read, or left. */
void request_caller_came(struct proxy_request *r);

/** Returns the time in us that the attempt has taken so far, without the time
 * for which it waited for the caller. */
int64_t request_attempt_time_us(const struct proxy_request *r);

/** Whether a routed request that has not run may last longer than this VM. */
int request_outlasts_vm(const struct proxy_request *r);

/** Starts another attempt. */
void request_retry(struct proxy_request *r);

/** Sets the outcome after an attempt without a response to pass on. */
void request_update_outcome(struct proxy_request *r, int did_not_run);

/** Passes a complete response on. */
void request_forward_response(struct proxy_request *r);

/** Breaks off a response of which a part was passed on. */
void request_abort_response(struct proxy_request *r);

/** Whether another attempt is allowed; if so, withdraws it from the retry
 * budget. "did_not_run": the last attempt certainly did not run. */
int request_may_retry(struct proxy_request *r, int did_not_run);

/** Fails a routed request after its attempts. Status 503, which tells the
 * caller that nothing ran, is used only if that is certain of all attempts;
 * else 504 at the deadline and 502 before. */
void request_fail_routed(struct proxy_request *r, const char *cause);

#endif
