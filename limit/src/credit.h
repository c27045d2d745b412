#ifndef LIMIT_CREDIT_H
#define LIMIT_CREDIT_H

#include <stdatomic.h>
#include <stdint.h>

/** Adds to a credit that threads share, up to a maximum. */
static inline void credit_add(_Atomic int64_t *credit, int64_t added,
			      int64_t max)
{
	int64_t old = atomic_load(credit);
	int64_t sum;

	do {
		sum = old + added;
		if (sum > max)
			sum = max;
	} while (!atomic_compare_exchange_weak(credit, &old, sum));
}

/** Returns what a rate, in thousandths per second, adds in a time; "rest"
 * carries what is too small to count. */
static inline int64_t credit_grown(int64_t rate_milli, int64_t elapsed_ms,
				   int64_t *rest)
{
	int64_t sum = rate_milli * elapsed_ms + *rest;

	*rest = sum % 1000;
	return sum / 1000;
}

#endif
