#ifndef PRIMROSELEAD_METRICS_H
#define PRIMROSELEAD_METRICS_H

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

/** Counters; docs/OPERATIONS.md explains each. */
enum metric {
	METRIC_LOOKUPS,
	METRIC_REQUESTS,
	METRIC_RAN,
	METRIC_NOT_RUN,
	METRIC_UNKNOWN,
	METRIC_SHED,
	METRIC_BAD_REQUESTS,
	METRIC_ATTEMPTS,
	METRIC_RETRIES,
	METRIC_SPILLED,
	METRIC_SHIFTED,
	METRIC_CLAIMS,
	METRIC_CLAIMS_TAKEN,
	METRIC_CLAIMS_REFUSED,
	METRIC_CANCELLED,
	METRIC_STORE_READS,
	METRIC_STORE_WRITES,
	METRIC_STORE_WATCHES,
	METRIC_RPC_SENT,
	METRIC_RPC_SENT_BYTES,
	METRIC_RPC_RECEIVED,
	METRIC_RPC_RECEIVED_BYTES,
	METRIC_RPC_REJECTED,
	METRIC_INSTALLED,
	METRIC_PULLS,
	METRIC_BORROWED,
	METRIC_LOG_LOST,
	METRIC_COUNT,
};

/** Kinds of latency that are recorded. */
enum metric_latency {
	METRIC_REQUEST_TIME,
	METRIC_UPSTREAM_TIME,
	METRIC_CLAIM_TIME,
	METRIC_LATENCY_COUNT,
};

/** Buckets of a histogram: two for each doubling from 16 microseconds. */
#define METRIC_BUCKETS 48

/** Counters of one thread; any thread may read them. */
struct metrics {
	_Atomic uint64_t counter[METRIC_COUNT];
	_Atomic uint64_t bucket[METRIC_LATENCY_COUNT][METRIC_BUCKETS];
};

/** Adds to a counter. */
void metrics_add(struct metrics *m, enum metric which, uint64_t n);

/** Sets a counter that is kept elsewhere. */
void metrics_set(struct metrics *m, enum metric which, uint64_t n);

/** Records a latency in microseconds. */
void metrics_latency(struct metrics *m, enum metric_latency which, int64_t us);

/** Upper bound of a bucket in microseconds. */
int64_t metrics_bound(int bucket);

/**
 * Writes the sum over several threads as text, one counter a line. Returns
 * the length, at most size - 1.
 */
size_t metrics_write(const struct metrics *const *m, int n, char *text,
		     size_t size);

#endif
