/* What one thread learns of an upstream from its own_inflight requests there.
 */
#include <primroselead/backoff.h>
#include <primroselead/place.h>

/* Age at which a report of an upstream's load counts nothing, in ms; it counts
 * the less the older it is. One VM hears from an upstream about once a second.
 */
#define REPORT_AGE_MAX_MS 3000

/* Age at which failures and latencies of an upstream are forgotten, in ms. */
#define STATS_EXPIRY_MS 4000

/* Time for which an unreachable upstream is left alone after the first
 * failure, in ms; it doubles with each further one. */
#define EJECTION_MIN_MS 200
#define EJECTION_MAX_MS 3200

/* Time for which one that refused without a report is taken as full, in ms. */
#define REFUSED_EJECTION_MS 100

/* Part of a new sample in a smoothed value: one in this many. */
#define SMOOTHING_DIVISOR 8

#define THOUSAND 1000

int64_t place_inflight(const struct place_upstream_stats *u, int own_inflight,
		       int64_t now_ms)
{
	int64_t age = now_ms - u->reported_ms;
	int64_t own_milli = (int64_t)own_inflight * THOUSAND;

	if (age >= REPORT_AGE_MAX_MS)
		return own_milli;
	return own_milli + u->others_inflight_milli *
				   (REPORT_AGE_MAX_MS - age) /
				   REPORT_AGE_MAX_MS;
}

void place_estimate_fill(const struct place_upstream_stats *u, int own_inflight,
			 int64_t service_time_us, int64_t now_ms,
			 struct place_estimate *out)
{
	out->inflight_milli = place_inflight(u, own_inflight, now_ms);
	out->slowness_permille = THOUSAND;
	if (u->latency_us && now_ms - u->latency_sampled_ms < STATS_EXPIRY_MS)
		out->slowness_permille =
			u->latency_us * THOUSAND / service_time_us;
	out->failure_permille = now_ms - u->last_failure_ms < STATS_EXPIRY_MS
					? u->failure_permille
					: 0;
}

static int64_t smooth_average(int64_t old, int64_t sample)
{
	return old ? old + (sample - old) / SMOOTHING_DIVISOR : sample;
}

static void record_duration(struct place_upstream_stats *u,
			    struct place_service_state *s,
			    const struct place_attempt *attempt, int64_t now)
{
	if (now - u->latency_sampled_ms >= STATS_EXPIRY_MS)
		u->latency_us = 0;
	u->latency_us = smooth_average(u->latency_us, attempt->duration_us);
	u->latency_sampled_ms = now;
	/* A request that waited there says nothing of its own_inflight time. */
	if (!attempt->queued)
		s->service_time_us[attempt->region] =
			smooth_average(s->service_time_us[attempt->region],
				       attempt->duration_us);
}

static void record_failure(struct place_upstream_stats *u, int failed,
			   int64_t now)
{
	if (now - u->last_failure_ms >= STATS_EXPIRY_MS)
		u->failure_permille = 0;
	u->failure_permille += ((failed ? THOUSAND : 0) - u->failure_permille) /
			       SMOOTHING_DIVISOR;
	if (failed)
		u->last_failure_ms = now;
}

static void eject(struct place_upstream_stats *u, int64_t now)
{
	u->ejected_until_ms =
		now + prl_backoff(EJECTION_MIN_MS, EJECTION_MAX_MS,
				  u->unreachable_count);
	u->unreachable_count++;
}

void place_record_attempt(struct place_upstream_stats *u,
			  struct place_service_state *s,
			  const struct place_attempt *attempt, int64_t now_ms)
{
	record_failure(u, attempt->result != PLACE_ANSWERED, now_ms);
	switch (attempt->result) {
	case PLACE_ANSWERED:
		u->unreachable_count = 0;
		record_duration(u, s, attempt, now_ms);
		break;
	case PLACE_FAILED:
		u->unreachable_count = 0;
		break;
	case PLACE_REFUSED:
		u->unreachable_count = 0;
		if (!attempt->reported_load)
			u->ejected_until_ms = now_ms + REFUSED_EJECTION_MS;
		break;
	case PLACE_BROKEN:
		/* One that takes connections may break few answers only. */
		break;
	case PLACE_UNREACHED:
		eject(u, now_ms);
		break;
	}
}

void place_record_load(struct place_upstream_stats *u, int running, int waiting,
		       int own_inflight, int64_t now_ms)
{
	int others = running + waiting - own_inflight;

	/* The report may still count the request that it answers. */
	u->others_inflight_milli = others > 0 ? (int64_t)others * THOUSAND : 0;
	u->reported_ms = now_ms;
}
