#ifndef PRIMROSELEAD_CLOCK_H
#define PRIMROSELEAD_CLOCK_H

#include <stdint.h>

/** A point in time that never comes, in any of the two clocks. */
#define PRL_NEVER INT64_MAX

/**
 * Milliseconds of a clock that never steps back and goes on while the machine
 * is suspended; its start is arbitrary. All deadlines kept in memory are
 * points of this clock.
 */
int64_t prl_now_ms(void);

/** As prl_now_ms, in microseconds; for measuring latencies. */
int64_t prl_now_us(void);

/** Milliseconds since 1970, for what other machines read. */
int64_t prl_wall_ms(void);

#endif
