#ifndef STANDIN_LATENCIES_H
#define STANDIN_LATENCIES_H

#include <stdint.h>

/** Latencies of requests, in microseconds; a fixed number of them are kept. */
struct latencies {
	uint32_t *us;
	uint64_t n;
};

/** Allocates the room. Returns 0, or -1 if there is no memory. */
int latencies_init(struct latencies *l);

/** Adds a latency, unless there is no room left. */
void latencies_add(struct latencies *l, int64_t us);

/** Sorts the latencies, which latencies_quantile needs. */
void latencies_sort(struct latencies *l);

/** Latency that a share of the requests, from 0 to 1, does not exceed; 0 if
 * there is none. */
uint32_t latencies_quantile(const struct latencies *l, double share);

#endif
