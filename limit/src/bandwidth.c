#include "credit.h"
#include <primroselead/bandwidth.h>

#define US_PER_S 1000000
#define MS_PER_S 1000

/* Time for which credit is reserved after a new transfer had to wait, in us. */
#define RESERVED_US 5000

/* Returns 1 if the credit is above 0. */
static int refill(struct limit_bandwidth *b, int64_t rate, int64_t now_us)
{
	int64_t max_bytes = rate * LIMIT_BANDWIDTH_BURST_MS / MS_PER_S;
	int64_t refilled_us = atomic_load(&b->refilled_us);
	int64_t elapsed_us = now_us - refilled_us;

	/* One second earns more than the bucket holds. The bound keeps the
	 * products below from overflowing. */
	if (elapsed_us > US_PER_S)
		elapsed_us = US_PER_S;
	/* The time accumulates until it is worth a whole byte. Of concurrent
	 * threads only the one that stores the new time adds its credit. */
	if (elapsed_us > 0 && elapsed_us * rate >= US_PER_S &&
	    atomic_compare_exchange_strong(&b->refilled_us, &refilled_us,
					   now_us))
		credit_add(&b->credit_bytes, elapsed_us * rate / US_PER_S,
			   max_bytes);
	return atomic_load(&b->credit_bytes) > 0;
}

int limit_bandwidth_refill(struct limit_bandwidth *b, int64_t rate,
			   int64_t now_us)
{
	return refill(b, rate, now_us) &&
	       now_us >= atomic_load(&b->reserved_until_us);
}

int limit_bandwidth_admit(struct limit_bandwidth *b, int64_t rate,
			  int64_t now_us)
{
	if (refill(b, rate, now_us))
		return 1;
	atomic_store(&b->reserved_until_us, now_us + RESERVED_US);
	return 0;
}

void limit_bandwidth_charge(struct limit_bandwidth *b, int64_t bytes)
{
	atomic_fetch_sub(&b->credit_bytes, bytes);
}
