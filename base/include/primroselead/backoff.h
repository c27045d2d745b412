#ifndef PRIMROSELEAD_BACKOFF_H
#define PRIMROSELEAD_BACKOFF_H

#include <stdint.h>

/** Exponential backoff: the initial delay, doubled for each of "doublings", at
 * most "max". The result has the unit of the arguments. */
int64_t prl_backoff(int64_t initial, int64_t max, int doublings);

/**
 * Adds jitter to a delay, so that clients that failed together do not retry
 * together. Returns a value from delay / 2 up to, but not including,
 * delay / 2 + delay, chosen by a random number. The delay must be positive.
 */
int64_t prl_jitter(int64_t delay, uint64_t random);

#endif
