#ifndef PRIMROSELEAD_BANDWIDTH_H
#define PRIMROSELEAD_BANDWIDTH_H

#include <stdatomic.h>
#include <stdint.h>

/**
 * Holds bytes to a rate. Bytes are counted when they have been read or
 * written, so one block may go beyond the credit; then nothing passes until
 * time has paid for it. Any thread may use it.
 */
struct limit_bandwidth {
	/** Bytes that may pass; below 0 for those that have to be waited for.
	 */
	_Atomic int64_t credit_bytes;
	/** When the credit was last added to, in microseconds. */
	_Atomic int64_t refilled_us;
};

/** Bytes that may be saved up: those of this time, in milliseconds. */
#define LIMIT_BANDWIDTH_BURST_MS 20

/** Adds what a rate in bytes a second gives up to now. Returns 1 if bytes may
 * pass, else 0. */
int limit_bandwidth_refill(struct limit_bandwidth *f, int64_t rate,
			   int64_t now_us);

/** Counts bytes that have passed. */
void limit_bandwidth_charge(struct limit_bandwidth *f, int64_t bytes);

#endif
