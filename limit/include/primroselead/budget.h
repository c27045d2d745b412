#ifndef PRIMROSELEAD_BUDGET_H
#define PRIMROSELEAD_BUDGET_H

#include <stdint.h>

/**
 * A budget for additional sends, such as retries. Each request credits a
 * fraction of a send, and the burst is credited when it is set, so in any
 * period at most that fraction of the period's requests plus the burst may be
 * sent. Used by one thread. Starts as all zero.
 */
struct limit_budget {
	/** Sends that may be made now, in thousandths. */
	int64_t credit_milli;
	/** Upper bound of the credit, in thousandths of a send. */
	int64_t burst_milli;
};

/** Sets the burst, in sends. If it grows, the difference is credited at once;
 * credit above it is lost. */
void limit_budget_set_burst(struct limit_budget *b, int64_t sends);

/** Credits one request, at a fraction in permille of a send. */
void limit_budget_deposit(struct limit_budget *b, int64_t permille);

/** Takes the credit for one send. Returns 1, or 0 if there is not enough. */
int limit_budget_withdraw(struct limit_budget *b);

/** Limits events to a rate by keeping their minimum interval; an idle period
 * earns no burst. Used by one thread. Starts as all zero. */
struct limit_rate {
	/** Earliest time of the next event, in microseconds. */
	int64_t next_us;
};

/** Whether an event may happen now. */
int limit_rate_allows(const struct limit_rate *r, int64_t now_us);

/** Records an event, at a rate in thousandths of an event per second. A rate of
 * 0 or less allows no further event. */
void limit_rate_record(struct limit_rate *r, int64_t rate_milli,
		       int64_t now_us);

#endif
