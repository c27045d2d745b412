#ifndef PROXY_HEAD_H
#define PROXY_HEAD_H

#include "request.h"

/*
 * Memory for the heads of a request and of its answer. The listener holds both,
 * and a record of each header field and cookie, in a fixed amount of memory for
 * each connection; a response whose head does not fit is never sent.
 */

/** Memory of a caller's connection, in bytes. */
#define HEAD_CONNECTION_BYTES (32 << 10)

/** Memory of a connection to a listener of this VM's own pages, in bytes. */
#define HEAD_PAGE_CONNECTION_BYTES (8 << 10)

/** Memory of a connection with a head that may not fit in less, in bytes. */
#define HEAD_LARGE_CONNECTION_BYTES (640 << 10)

/** Sets "answer_room" of a request whose head has been read, and
 * "request_head_bytes". */
void head_measure(struct proxy_request *r);

/** Whether a response of this VM's own fits. */
int head_has_error_room(const struct proxy_request *r);

/** Returns 1 if the head is within the limit (in bytes; 0 for none), or 0 after
 * failing the request. */
int head_check(struct proxy_request *r, int64_t limit_bytes);

/** Whether the head of the upstream's response fits. */
int head_fits_response(const struct proxy_request *r);

/** Answers a request, for which the listener has no memory left, on the
 * connection itself, which must be closed then. */
void head_refuse_raw(const struct proxy_request *r);

/** Keeps the listener from splitting the query of a target into more than
 * "max" parts, each of which takes a record. */
void head_limit_query(const char *target, int max);

/** Number of connections that one listener takes, out of 1/share of the
 * process's memory, each with one to an upstream. */
unsigned int head_connections_max(const struct prl_settings *s, int share);

/** Number of connections with the larger memory that a listener takes, out of
 * 1/share of the process's memory. */
unsigned int head_large_max(const struct prl_settings *s, int share);

/** Number of callers' connections that one thread keeps open after a response,
 * if it takes connections_max at a time. */
int head_kept_max(int connections_max);

#endif
