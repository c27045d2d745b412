#ifndef PRIMROSELEAD_BUDGET_H
#define PRIMROSELEAD_BUDGET_H

#include <stdint.h>

/**
 * Holds repeated sends to a share of the requests, and a constant number that
 * may come at once. In any span at most the share of its requests and the
 * constant pass. Used by one thread.
 */
struct limit_budget {
	/** In thousandths of a send. */
	int64_t credit_milli;
	int64_t burst_milli;
};

/** Sets the constant part; credit above it is lost. */
void limit_budget_set_burst(struct limit_budget *b, int64_t most);

/** Counts one request, at a share in permille. */
void limit_budget_deposit(struct limit_budget *b, int64_t permille);

/** Lets one send pass. Returns 1, or 0 if it must not. */
int limit_budget_withdraw(struct limit_budget *b);

/** Holds events to a rate; at most one is saved up. Used by one thread. */
struct limit_rate {
	/** When the next event may pass, in microseconds. */
	int64_t next_us;
};

/** Whether an event may pass now. */
int limit_rate_allows(const struct limit_rate *r, int64_t now_us);

/** Counts an event, at a rate in thousandths a second. */
void limit_rate_record(struct limit_rate *r, int64_t rate, int64_t now_us);

#endif
