#ifndef PROXY_UNFINISHED_H
#define PROXY_UNFINISHED_H

#include <stddef.h>
#include <stdint.h>

/*
 * Requests whose body has not come yet. A few of them are sent to upstreams
 * while their bodies come, so that most places there are left to requests that
 * are complete. The others are held here until their body has come, or has
 * filled its buffer and there is a place for it.
 */

struct proxy_request;
struct proxy_thread;

/** How far a request is whose body may not have come. */
enum unfinished_state {
	/** There is no body, or it has come, or nobody waits for it. */
	UNFINISHED_NONE,
	/** Held until the body has come. */
	UNFINISHED_HELD,
	/** Held with a full buffer, until another one has ended. */
	UNFINISHED_FULL,
	/** Started before the body has come. */
	UNFINISHED_STARTED,
};

/** State of one request; empty when zeroed. */
struct request_unfinished {
	enum unfinished_state state;
	struct proxy_request *next;
	/** Bytes of the body that the caller has sent or, once it is answered,
	 * bytes that it has acknowledged; the same as of its last progress, and
	 * when that was. */
	uint64_t bytes;
	uint64_t bytes_before;
	int64_t progress_ms;
	/** The caller has made no progress for a while. */
	int is_stalled;
};

/** Starts a request that has been dispatched, or holds it. */
void unfinished_dispatch(struct proxy_request *r);

/** Handles bytes of the body; "is_full" tells that there was no room for all.
 */
void unfinished_received(struct proxy_request *r, size_t n, int is_full);

/** Handles the end of the body. */
void unfinished_ended(struct proxy_request *r);

/** Handles that nobody waits for the body any more. */
void unfinished_release(struct proxy_request *r);

/** Looks at the caller's progress, and at the deadline of a request that is
 * held; called from time to time. */
void unfinished_tick(struct proxy_request *r, int64_t now);

/** Whether the request is held. */
int unfinished_is_held(const struct proxy_request *r);

/** Starts held requests for which there is a place now, or makes one; called
 * from time to time. */
void unfinished_sweep(struct proxy_thread *t);

/** Ends requests of a service that were sent on and whose callers neither send
 * nor read; those of all services, held ones included, if it is null. */
void unfinished_end_stalled(struct proxy_thread *t, const char *service);

#endif
