#ifndef PRIMROSELEAD_METRICS_H
#define PRIMROSELEAD_METRICS_H

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

/** Counters, all from the start of the process; docs/OPERATIONS.md describes
 * each. */
enum metric {
	METRIC_LOOKUPS,
	METRIC_REQUESTS,
	/** Requests by outcome. */
	METRIC_REQUESTS_RAN,
	METRIC_REQUESTS_NOT_RUN,
	METRIC_REQUESTS_UNKNOWN,
	/** Requests refused for lack of capacity, a usable upstream, a
	 * configuration or time. */
	METRIC_REQUESTS_SHED,
	/** Requests refused before they were assigned to a service. */
	METRIC_REQUESTS_BAD,
	/** Requests refused for want of a valid key. */
	METRIC_REQUESTS_UNAUTHORIZED,
	/** Requests rejected because upstreams have ended under them. */
	METRIC_REQUESTS_QUARANTINED,
	METRIC_CALLERS_STALLED,
	/** Requests known to this VM under which upstreams have ended: all, and
	 * those that are in quarantine. */
	METRIC_QUARANTINE_SUSPECTS,
	METRIC_QUARANTINE_ACTIVE,
	/** Routed requests that began to wait for an upstream; that were then
	 * started, or turned away because the wait was of no use any longer or
	 * a more urgent one took the place; and those that wait now: the ones
	 * that can be in time, and the others. */
	METRIC_REQUESTS_QUEUED,
	METRIC_QUEUE_STARTED,
	METRIC_QUEUE_ENDED,
	METRIC_QUEUE_REPLACED,
	METRIC_QUEUE_TIMELY,
	METRIC_QUEUE_LATE,
	/** Requests refused since their workspace's quota was used up. */
	METRIC_REQUESTS_OVER_QUOTA,
	METRIC_UPSTREAM_ATTEMPTS,
	METRIC_UPSTREAM_RETRIES,
	/** Requests passed on to another VM, and those taken from others. */
	METRIC_RELAYS_SENT,
	METRIC_RELAYS_TAKEN,
	/** Of these, those that go to a region since their share is served
	 * there; and those that the region's VMs had no room for. */
	METRIC_RELAYS_REGION_SENT,
	METRIC_RELAYS_REGION_TAKEN,
	METRIC_RELAYS_REGION_REFUSED,
	/** Services of which this VM reaches no upstream at present. */
	METRIC_SERVICES_ISOLATED,
	/** Requests sent to another region because their own was full or had
	 * no upstream. */
	METRIC_REQUESTS_SPILLED,
	/** Requests sent to another region by a shift. */
	METRIC_REQUESTS_SHIFTED,
	/** Claims requested; claims of a key that was claimed already; claims
	 * that could not be stored. */
	METRIC_CLAIMS,
	METRIC_CLAIMS_TAKEN,
	METRIC_CLAIMS_REFUSED,
	/** Requests whose caller closed the connection during a transfer. */
	METRIC_REQUESTS_CANCELLED,
	/** Requests refused since their head leaves no room for the answer's,
	 * and answers of upstreams that were not passed on since their own head
	 * found no room. */
	METRIC_REQUESTS_HEAD_REFUSED,
	METRIC_RESPONSES_HEAD_REFUSED,
	/** Connections of callers that were closed without the answer to a
	 * request, or with one that the listener gave by itself. */
	METRIC_CONNECTIONS_FAILED,
	/** Kept connections to upstreams that were closed in place of sending a
	 * request over them again that had been answered there. */
	METRIC_CONNECTIONS_ANSWERED_BEFORE,
	METRIC_STORE_READS,
	METRIC_STORE_WRITES,
	METRIC_STORE_WATCHES,
	/** UDP datagrams between VMs, and their bytes. */
	METRIC_RPC_SENT,
	METRIC_RPC_SENT_BYTES,
	METRIC_RPC_RECEIVED,
	METRIC_RPC_RECEIVED_BYTES,
	METRIC_RPC_REJECTED,
	/** Whether limits are shared with other VMs, and the age of what is
	 * known of them in ms; the VMs that may run, and those that this VM
	 * adds up. */
	METRIC_USAGE_FOLLOWING,
	METRIC_USAGE_AGE_MS,
	METRIC_USAGE_VMS,
	METRIC_USAGE_VMS_HEARD,
	METRIC_CONFIG_INSTALLED,
	/** Objects that the store gave in an older version than the replica's.
	 */
	METRIC_CONFIG_OLDER,
	METRIC_CONFIG_PULLS,
	/** Versions of the manifest that could not be used, and parts of the
	 * one in force that this VM goes without: services, and upstreams and
	 * services without an index. */
	METRIC_MANIFESTS_REFUSED,
	METRIC_MANIFEST_LEFT_OUT,
	METRIC_UPSTREAMS_LEFT_OUT,
	METRIC_TOKENS_BORROWED,
	METRIC_LOG_LINES_LOST,
	METRIC_COUNT,
};

/** Latency histograms. */
enum metric_latency {
	METRIC_REQUEST_TIME,
	METRIC_UPSTREAM_TIME,
	METRIC_CLAIM_TIME,
	METRIC_QUEUE_TIME,
	METRIC_LATENCY_COUNT,
};

/** Buckets of a histogram, two for each doubling of the upper bound, from 16
 * microseconds. The last one counts all higher latencies, too. */
#define METRIC_BUCKETS 48

/** Counters and histograms of one thread; any thread may read them. */
struct metrics {
	_Atomic uint64_t counter[METRIC_COUNT];
	_Atomic uint64_t bucket[METRIC_LATENCY_COUNT][METRIC_BUCKETS];
};

/** Adds to a counter. */
void metrics_add(struct metrics *m, enum metric which, uint64_t n);

/** Sets a counter to a total that is maintained elsewhere. */
void metrics_set(struct metrics *m, enum metric which, uint64_t n);

/** Counts a latency in microseconds in its histogram. */
void metrics_record_latency(struct metrics *m, enum metric_latency which,
			    int64_t us);

/** Returns the inclusive upper bound of a histogram bucket in microseconds. */
int64_t metrics_bucket_bound_us(int bucket);

/**
 * Formats the sums over n threads in the Prometheus text format, one sample a
 * line. Buckets without a latency are left out. Samples that do not fit are
 * omitted whole. Returns the length, at most size - 1.
 */
size_t metrics_format(const struct metrics *const *m, int n, char *text,
		      size_t size);

#endif
