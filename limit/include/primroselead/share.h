#ifndef PRIMROSELEAD_SHARE_H
#define PRIMROSELEAD_SHARE_H

#include <stdatomic.h>
#include <stdint.h>

/**
 * Holds an event to a share of all events, such as requests moved among
 * requests, or retries among successes. Since the start the share is never
 * exceeded; in any later span at most LIMIT_SHARE_DEPTH events more pass.
 * Any thread may use it.
 */
struct limit_share {
	/** Credit in thousandths of an event. */
	_Atomic int64_t credit;
};

/** Events that may be saved up. */
#define LIMIT_SHARE_DEPTH 4

/** Starts without credit. */
void limit_share_init(struct limit_share *s);

/** Counts one of all events, at a share in permille. */
void limit_share_count(struct limit_share *s, int permille);

/** Lets one event of the share pass. Returns 1, or 0 if it must not. */
int limit_share_take(struct limit_share *s);

/** Takes back the credit, so that a new share starts from nothing. */
void limit_share_reset(struct limit_share *s);

#endif
