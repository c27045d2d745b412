#ifndef PRIMROSELEAD_CLOCK_H
#define PRIMROSELEAD_CLOCK_H

#include <stdint.h>

/** A time that is never reached, on the monotonic and on the wall clock. */
#define PRL_NEVER INT64_MAX

/**
 * Returns the time of a monotonic clock in milliseconds. The clock keeps
 * counting while the machine is suspended; its epoch is arbitrary. All
 * deadlines kept in memory are times of this clock.
 */
int64_t prl_now_ms(void);

/** Returns the time of the same clock in microseconds, to measure latencies. */
int64_t prl_now_us(void);

/** Returns the wall clock in milliseconds since 1970, for times that other
 * machines read. */
int64_t prl_wall_ms(void);

#endif
