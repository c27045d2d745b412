#ifndef PROXY_WAITING_H
#define PROXY_WAITING_H

#include "request.h"

/*
 * Routed requests that wait at this VM until an upstream can take them. The
 * package place decides their order and how long each may wait; they are tried
 * again whenever a request ends, and at short intervals.
 */

/** Queues a request for which no upstream was found, if one is likely to be
 * free in useful time. Returns 1, or 0 if it is to be refused. */
int waiting_enqueue(struct proxy_request *r);

/** Queues a new request behind more urgent ones of its service. Returns 1, or 0
 * if it may be placed at once. */
int waiting_must_queue(struct proxy_request *r);

/** Removes a request from the queue. */
void waiting_remove(struct proxy_request *r);

/** Lets the queue be tried in this round of the event loop. */
void waiting_wake(struct proxy_thread *t);

/** Timer callback: starts the requests for which there is an upstream, and
 * turns away those whose wait is of no use any longer. */
void waiting_run(struct loop_timer *timer, int64_t now);

#endif
