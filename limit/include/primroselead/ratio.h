#ifndef PRIMROSELEAD_RATIO_H
#define PRIMROSELEAD_RATIO_H

#include <stdatomic.h>
#include <stdint.h>

/**
 * Holds an event to a share of all events, such as requests moved among
 * requests, or retries among successes. Since the start the share is never
 * exceeded; in any later span at most LIMIT_RATIO_BURST events more pass.
 * Any thread may use it.
 */
struct limit_ratio {
	/** Credit in thousandths of an event. */
	_Atomic int64_t credit_milli;
};

/** Events that may be saved up. */
#define LIMIT_RATIO_BURST 4

/** Starts without credit. */
void limit_ratio_init(struct limit_ratio *s);

/** Counts one of all events, at a share in permille. */
void limit_ratio_deposit(struct limit_ratio *s, int permille);

/** Lets one event of the share pass. Returns 1, or 0 if it must not. */
int limit_ratio_withdraw(struct limit_ratio *s);

/** Takes back the credit, so that a new share starts from nothing. */
void limit_ratio_reset(struct limit_ratio *s);

#endif
