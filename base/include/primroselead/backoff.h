#ifndef PRIMROSELEAD_BACKOFF_H
#define PRIMROSELEAD_BACKOFF_H

#include <stdint.h>

/** Pause after failures in a row: the shortest one, doubled "times" times, at
 * most the longest. Any unit. */
int64_t prl_backoff(int64_t shortest, int64_t longest, int times);

/** Half of a pause is kept and as much as all of it drawn by a random number,
 * so that those who pause together do not come back together. */
int64_t prl_jitter(int64_t pause, uint64_t random);

#endif
