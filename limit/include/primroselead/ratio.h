#ifndef PRIMROSELEAD_RATIO_H
#define PRIMROSELEAD_RATIO_H

#include <stdatomic.h>
#include <stdint.h>

/**
 * Limits selected events to a ratio of all events, such as shifted requests
 * among requests or retries among successes. Counted from the start, the ratio
 * is never exceeded; over any later period it is exceeded by at most
 * LIMIT_RATIO_BURST events. Any thread may use it.
 */
struct limit_ratio {
	/** Selected events that may happen now, in thousandths. */
	_Atomic int64_t credit_milli;
};

/** Upper bound of the credit, in events. */
#define LIMIT_RATIO_BURST 4

/** Starts without credit. */
void limit_ratio_init(struct limit_ratio *r);

/** Credits one of all events, at a ratio in permille. */
void limit_ratio_deposit(struct limit_ratio *r, int permille);

/** Takes the credit for one selected event. Returns 1, or 0 if there is not
 * enough. */
int limit_ratio_withdraw(struct limit_ratio *r);

/** Discards the credit, so that credit earned at an old ratio is not used under
 * a new one. */
void limit_ratio_reset(struct limit_ratio *r);

#endif
