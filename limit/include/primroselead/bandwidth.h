#ifndef PRIMROSELEAD_BANDWIDTH_H
#define PRIMROSELEAD_BANDWIDTH_H

#include <stdatomic.h>
#include <stdint.h>

/**
 * A token bucket that limits bytes per second. Bytes are charged after they
 * were read or written, so a block may overdraw the credit; nothing more may
 * pass until the credit is above 0 again. Any thread may use it. Starts as all
 * zero.
 */
struct limit_bandwidth {
	/** Bytes that may pass; negative while overdrawn. */
	_Atomic int64_t credit_bytes;
	/** Time of the last refill, in microseconds of prl_now_us. */
	_Atomic int64_t refilled_us;
	/** Until when running transfers leave the credit to new ones. */
	_Atomic int64_t reserved_until_us;
};

/** Time in which an empty bucket fills, in milliseconds. */
#define LIMIT_BANDWIDTH_BURST_MS 20

/** Adds the credit earned since the last refill at a rate in bytes per second.
 * Returns 1 if bytes of a running transfer may pass, else 0: if the credit is
 * not above 0, or is reserved for new transfers. */
int limit_bandwidth_refill(struct limit_bandwidth *b, int64_t rate,
			   int64_t now_us);

/** As limit_bandwidth_refill, but returns whether a new transfer may begin. If
 * not, the credit is reserved for it until it is likely to ask again: running
 * transfers would else take all of it each time. */
int limit_bandwidth_admit(struct limit_bandwidth *b, int64_t rate,
			  int64_t now_us);

/** Charges bytes that have passed. */
void limit_bandwidth_charge(struct limit_bandwidth *b, int64_t bytes);

#endif
