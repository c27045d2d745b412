#ifndef PRIMROSELEAD_STOP_H
#define PRIMROSELEAD_STOP_H

#include <stdint.h>

/*
 * Time left to a process that was told to stop and will be killed when its
 * grace time is over. Times are on the clock of prl_now_ms.
 */

/** Returns when the process must have answered all requests. "signal_ms" is a
 * time by which the stop signal had not been sent yet. */
int64_t limit_stop_end(int64_t signal_ms, int64_t grace_ms);

/** Whether a request that ends by its deadline is over when the process ends;
 * one that is not must not be begun. "end_ms" is PRL_NEVER if the process goes
 * on. */
int limit_stop_admits(int64_t end_ms, int64_t deadline_ms);

#endif
