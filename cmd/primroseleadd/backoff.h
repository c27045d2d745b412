#ifndef PRIMROSELEADD_BACKOFF_H
#define PRIMROSELEADD_BACKOFF_H

#include <stdint.h>

/** Exponential backoff with jitter. */
struct backoff {
	/** Earliest time of the next attempt; 0 allows it at once. */
	int64_t retry_ms;
	/** Attempts since the last reset. */
	int attempts;
};

/** Schedules the next attempt; the delay doubles with each call. */
void backoff_schedule(struct backoff *b, int64_t now);

/** Resets the delay after a successful attempt. */
void backoff_reset(struct backoff *b);

#endif
