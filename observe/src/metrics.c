#include <inttypes.h>
#include <primroselead/metrics.h>
#include <stdio.h>

/* Upper bound of the first histogram bucket in microseconds. */
#define FIRST_BOUND_US 16

static const char *const counter_names[METRIC_COUNT] = {
	"lookups",
	"requests",
	"requests_ran",
	"requests_not_run",
	"requests_unknown",
	"requests_shed",
	"requests_bad",
	"requests_unauthorized",
	"requests_quarantined",
	"callers_stalled",
	"quarantine_suspects",
	"quarantine_active",
	"requests_queued",
	"queue_started",
	"queue_ended",
	"queue_replaced",
	"queue_timely",
	"queue_late",
	"requests_over_quota",
	"upstream_attempts",
	"upstream_retries",
	"relays_sent",
	"relays_taken",
	"relays_region_sent",
	"relays_region_taken",
	"relays_region_refused",
	"services_isolated",
	"requests_spilled",
	"requests_shifted",
	"claims",
	"claims_taken",
	"claims_refused",
	"requests_cancelled",
	"requests_head_refused",
	"responses_head_refused",
	"connections_failed",
	"connections_answered_before",
	"store_reads",
	"store_writes",
	"store_watches",
	"rpc_sent",
	"rpc_sent_bytes",
	"rpc_received",
	"rpc_received_bytes",
	"rpc_rejected",
	"usage_following",
	"usage_age_ms",
	"usage_vms",
	"usage_vms_heard",
	"config_installed",
	"config_older",
	"config_pulls",
	"manifests_refused",
	"manifest_left_out",
	"upstreams_left_out",
	"tokens_borrowed",
	"log_lines_lost"};

static const char *const latency_names[METRIC_LATENCY_COUNT] = {
	"request_time_us", "upstream_time_us", "claim_time_us",
	"queue_time_us"};

void metrics_add(struct metrics *m, enum metric which, uint64_t n)
{
	atomic_fetch_add_explicit(&m->counter[which], n, memory_order_relaxed);
}

void metrics_set(struct metrics *m, enum metric which, uint64_t n)
{
	atomic_store_explicit(&m->counter[which], n, memory_order_relaxed);
}

int64_t metrics_bucket_bound_us(int bucket)
{
	int64_t bound = (int64_t)FIRST_BOUND_US << (bucket / 2);

	return bucket % 2 ? bound + bound / 2 : bound;
}

void metrics_record_latency(struct metrics *m, enum metric_latency which,
			    int64_t us)
{
	int i = 0;

	while (i < METRIC_BUCKETS - 1 && us > metrics_bucket_bound_us(i))
		i++;
	atomic_fetch_add_explicit(&m->bucket[which][i], 1,
				  memory_order_relaxed);
}

struct text_writer {
	char *text;
	size_t size;
	size_t len;
};

/* Writes "primroselead_NAME[BOUND] N", or nothing if the line does not fit. */
static void write_sample(struct text_writer *w, const char *name,
			 const char *bound, uint64_t n)
{
	int k = snprintf(w->text + w->len, w->size - w->len,
			 "primroselead_%s%s %" PRIu64 "\n", name, bound, n);

	if (k > 0 && (size_t)k < w->size - w->len)
		w->len += (size_t)k;
}

/* Writes the cumulative buckets of a histogram and its count. */
static void write_histogram(struct text_writer *w,
			    const struct metrics *const *m, int n, int which)
{
	uint64_t total = 0;

	for (int b = 0; b < METRIC_BUCKETS; b++) {
		uint64_t count = 0;
		char bound[48];

		for (int i = 0; i < n; i++)
			count += m[i]->bucket[which][b];
		total += count;
		if (!count)
			continue;
		snprintf(bound, sizeof(bound), "_bucket{le=\"%" PRId64 "\"}",
			 metrics_bucket_bound_us(b));
		write_sample(w, latency_names[which], bound, total);
	}
	write_sample(w, latency_names[which], "_count", total);
}

size_t metrics_format(const struct metrics *const *m, int n, char *text,
		      size_t size)
{
	struct text_writer w = {.text = text, .size = size};

	for (int k = 0; k < METRIC_COUNT; k++) {
		uint64_t total = 0;

		for (int i = 0; i < n; i++)
			total += m[i]->counter[k];
		write_sample(&w, counter_names[k], "", total);
	}
	for (int k = 0; k < METRIC_LATENCY_COUNT; k++)
		write_histogram(&w, m, n, k);
	return w.len;
}
