/* What one thread learns of an upstream from its own requests there. */
#include <primroselead/backoff.h>
#include <primroselead/place.h>

/* Age at which a report of an upstream's load counts nothing, in ms; it counts
 * the less the older it is. One VM hears from an upstream about once a second.
 */
#define REPORT_AGE_MAX_MS 3000

/* Age at which failures and latencies of an upstream are forgotten, in ms. */
#define MEMORY_MS 4000

/* Time for which an unreachable upstream is left alone after the first
 * failure, in ms; it doubles with each further one. */
#define CLOSED_MIN_MS 200
#define CLOSED_MAX_MS 3200

/* Time for which one that refused without a report is taken as full, in ms. */
#define FULL_MS 100

/* Part of a new sample in a smoothed value: one in this many. */
#define SMOOTHING 8

#define THOUSAND 1000

int64_t place_inflight(const struct place_upstream_stats *k, int own,
		       int64_t now_ms)
{
	int64_t age = now_ms - k->reported_ms;
	int64_t mine = (int64_t)own * THOUSAND;

	if (age >= REPORT_AGE_MAX_MS)
		return mine;
	return mine + k->others_inflight_milli * (REPORT_AGE_MAX_MS - age) /
			      REPORT_AGE_MAX_MS;
}

void place_estimate_fill(const struct place_upstream_stats *k, int own,
			 int64_t hold_us, int64_t now_ms,
			 struct place_estimate *out)
{
	out->inflight_milli = place_inflight(k, own, now_ms);
	out->slowness_permille = THOUSAND;
	if (k->latency_us && now_ms - k->latency_sampled_ms < MEMORY_MS)
		out->slowness_permille = k->latency_us * THOUSAND / hold_us;
	out->failure_permille = now_ms - k->last_failure_ms < MEMORY_MS
					? k->failure_permille
					: 0;
}

static int64_t smooth(int64_t old, int64_t sample)
{
	return old ? old + (sample - old) / SMOOTHING : sample;
}

static void learn_time(struct place_upstream_stats *k,
		       struct place_service_state *s,
		       const struct place_attempt *e, int64_t now)
{
	if (now - k->latency_sampled_ms >= MEMORY_MS)
		k->latency_us = 0;
	k->latency_us = smooth(k->latency_us, e->duration_us);
	k->latency_sampled_ms = now;
	/* A request that waited there says nothing of its own time. */
	if (!e->queued)
		s->service_time_us[e->region] =
			smooth(s->service_time_us[e->region], e->duration_us);
}

static void learn_failure(struct place_upstream_stats *k, int failed,
			  int64_t now)
{
	if (now - k->last_failure_ms >= MEMORY_MS)
		k->failure_permille = 0;
	k->failure_permille +=
		((failed ? THOUSAND : 0) - k->failure_permille) / SMOOTHING;
	if (failed)
		k->last_failure_ms = now;
}

static void leave_alone(struct place_upstream_stats *k, int64_t now)
{
	k->ejected_until_ms = now + prl_backoff(CLOSED_MIN_MS, CLOSED_MAX_MS,
						k->unreachable_count);
	k->unreachable_count++;
}

void place_record_attempt(struct place_upstream_stats *k,
			  struct place_service_state *s,
			  const struct place_attempt *e, int64_t now_ms)
{
	learn_failure(k, e->result != PLACE_ANSWERED, now_ms);
	switch (e->result) {
	case PLACE_ANSWERED:
		k->unreachable_count = 0;
		learn_time(k, s, e, now_ms);
		break;
	case PLACE_FAILED:
		k->unreachable_count = 0;
		break;
	case PLACE_REFUSED:
		k->unreachable_count = 0;
		if (!e->reported_load)
			k->ejected_until_ms = now_ms + FULL_MS;
		break;
	case PLACE_BROKEN:
		/* One that takes connections may break few answers only. */
		break;
	case PLACE_UNREACHED:
		leave_alone(k, now_ms);
		break;
	}
}

void place_record_load(struct place_upstream_stats *k, int running, int waiting,
		       int own, int64_t now_ms)
{
	int others = running + waiting - own;

	/* The report may still count the request that it answers. */
	k->others_inflight_milli = others > 0 ? (int64_t)others * THOUSAND : 0;
	k->reported_ms = now_ms;
}
