#ifndef PRIMROSELEAD_ORDER_H
#define PRIMROSELEAD_ORDER_H

#include <stdint.h>

/*
 * Order of the requests of one thread that wait at a VM until an upstream can
 * take them, and of those that ask for a retry. Requests that can still be
 * answered within their latency objective come before those that can only be
 * late, and within each of these the more urgent priorities come first. Every
 * class gets a small part of the starts, so that none starves. This module does
 * no I/O and reads no clock; points in time are on the clock of prl_now_ms().
 */

/** Maximum number of waiting requests. */
#define ORDER_WAITING_MAX 64

/** Priorities that are told apart; all less urgent ones are taken for one. */
#define ORDER_PRIORITIES 4

/** Classes: the timely requests of each priority, then the late ones. */
#define ORDER_CLASSES (2 * ORDER_PRIORITIES)

/** Workspaces whose shares are told apart; others may share a counter. */
#define ORDER_WORKSPACES 64

/** A request that waits. */
struct order_entry {
	uint64_t handle;
	/** Index of the service; only requests of one service compete. */
	int service;
	/** A lower number is more urgent. */
	int priority;
	/** Hash of the caller's workspace; 0 if it has none. */
	uint64_t workspace;
	/** Expected time from its start at an upstream to the answer. */
	int64_t work_ms;
	/** Until when an answer is in time, and until when it is of use. */
	int64_t objective_ms;
	int64_t deadline_ms;
	/** Set by order_add(): begin and end of the wait. */
	int64_t since_ms;
	int64_t until_ms;
	/** Has been returned by order_next() in this pass. */
	int seen;
};

/** Requests that wait. All zero is the initial state. */
struct order_queue {
	struct order_entry entry[ORDER_WAITING_MAX];
	int n;
	/** Starts of more urgent classes since the last one of each class,
	 * while it had waiting requests. */
	int passed_over[ORDER_CLASSES];
	/** Virtual time of start-time fair queueing: when the next request of
	 * each workspace is due, and that of the last start. */
	int64_t workspace_ms[ORDER_WORKSPACES];
	int64_t position_ms;
	/** Moving average of the time from one start to the next, in us, and
	 * the last start. */
	int64_t start_interval_us;
	int64_t started_ms;
};

/** Result of order_add(). */
enum order_result {
	ORDER_ADDED,
	/** Added in the place of the least urgent request, which is to be
	 * refused. */
	ORDER_REPLACED,
	/** The queue is full of requests that are at least as urgent, or the
	 * request could not be served in useful time. */
	ORDER_REFUSED,
};

/** Class of a request now; a lower number goes first. */
int order_class(const struct order_entry *e, int64_t now_ms);

/** Whether a request that begins to wait now, and is expected to find a place
 * after delay_ms (PRL_NEVER if that is not known), may be served in useful
 * time. */
int order_is_useful(const struct order_entry *e, int64_t delay_ms,
		    int64_t now_ms);

/** Adds a request; sets *replaced with ORDER_REPLACED. */
enum order_result order_add(struct order_queue *q, const struct order_entry *e,
			    int64_t now_ms, struct order_entry *replaced);

/** Removes a request, if it waits. Returns 1 if it did. */
int order_remove(struct order_queue *q, uint64_t handle);

/** Removes a request that is started, and counts the start for the shares of
 * its class and its workspace. */
void order_start(struct order_queue *q, uint64_t handle, int64_t now_ms);

/** Begins a pass of order_next(). */
void order_begin(struct order_queue *q);

/** Returns the next request to be tried in this pass, or null. The pointer is
 * valid until the queue is changed. */
const struct order_entry *order_next(struct order_queue *q, int64_t now_ms);

/** Returns the least urgent of the requests whose wait has ended, or null. */
const struct order_entry *order_overdue(const struct order_queue *q,
					int64_t now_ms);

/** Whether a request of the same service waits that goes before e. */
int order_is_preceded(const struct order_queue *q, const struct order_entry *e,
		      int64_t now_ms);

/** Time in which the requests that wait now will have been started, at the pace
 * of the last starts, in ms. */
int64_t order_drain_ms(const struct order_queue *q);

/** State of the retries of one service. All zero is the initial state. */
struct order_retries {
	/** When a timely request of priority 0 or 1 last found no credit. */
	int64_t denied_ms;
	/** Other requests that were refused a retry since one got it. */
	int withheld;
};

/** Whether a request may take one of the retries that are left. While urgent
 * requests that could be in time have found no credit lately, others get only a
 * small part. Changes the state; order_retry_denied() is to be called if there
 * is no credit. */
int order_may_retry(struct order_retries *s, const struct order_entry *e,
		    int64_t now_ms);

/** Records that a request that may retry found no credit. */
void order_retry_denied(struct order_retries *s, const struct order_entry *e,
			int64_t now_ms);

#endif
