/* Statistics of an upstream: decay, moving averages, outlier ejection. */
#include <primroselead/backoff.h>
#include <primroselead/clock.h>
#include <primroselead/place.h>

/* Age at which a load report has decayed to 0, in ms. A VM gets a report from
 * each upstream about once a second. */
#define REPORT_AGE_MAX_MS 3000

/* Age at which a reported slowness no longer counts, in ms: an upstream's VM is
 * shared, and its load changes within fractions of a second. */
#define SLOWNESS_AGE_MAX_MS 600

/* Age of the last latency sample or failure at which its average expires, in
 * ms. */
#define STATS_EXPIRY_MS 4000

/* Ejection time of an unreachable upstream in ms: the minimum after the first
 * attempt, doubled after each consecutive one up to the maximum. */
#define EJECTION_MIN_MS 200
#define EJECTION_MAX_MS 3200

/* Ejection time of an upstream that refused a request without reporting its
 * load, and is taken to be full, in ms. */
#define REFUSED_EJECTION_MS 100

/* Weight of a new sample in a moving average is 1 / SMOOTHING_DIVISOR. */
#define SMOOTHING_DIVISOR 8

#define THOUSAND 1000
#define PERCENT 100

int64_t place_decay(int64_t inflight_milli, int64_t age_ms)
{
	if (age_ms >= REPORT_AGE_MAX_MS)
		return 0;
	return inflight_milli * (REPORT_AGE_MAX_MS - age_ms) /
	       REPORT_AGE_MAX_MS;
}

int64_t place_inflight(const struct place_upstream_stats *u,
		       int own_outstanding, int64_t now_ms)
{
	return (int64_t)own_outstanding * THOUSAND +
	       place_decay(u->report.others_inflight_milli,
			   now_ms - u->report.reported_ms);
}

/* Returns 0 without a recent sample. */
static int64_t average_us(const struct place_average *a, int64_t now_ms)
{
	return now_ms - a->sampled_ms < STATS_EXPIRY_MS ? a->us : 0;
}

/* Moves the measured slowness towards the reported one, the less the older that
 * is. */
static int64_t apply_report(const struct place_upstream_stats *u,
			    int64_t measured_permille, int64_t now_ms)
{
	int64_t weight =
		SLOWNESS_AGE_MAX_MS - (now_ms - u->slowness_reported_ms);

	if (!u->slowness_permille || weight <= 0)
		return measured_permille;
	return measured_permille + (u->slowness_permille - measured_permille) *
					   weight / SLOWNESS_AGE_MAX_MS;
}

void place_estimate_fill(const struct place_upstream_stats *u,
			 int own_outstanding, int64_t service_time_us,
			 int64_t now_ms, struct place_estimate *out)
{
	int64_t latency_us = average_us(&u->latency, now_ms);

	out->inflight_milli = place_inflight(u, own_outstanding, now_ms);
	out->slowness_permille = apply_report(
		u,
		latency_us ? latency_us * THOUSAND / service_time_us : THOUSAND,
		now_ms);
	out->failure_permille = now_ms - u->last_failure_ms < STATS_EXPIRY_MS
					? u->failure_permille
					: 0;
}

int64_t place_kind_time_us(const struct place_service_state *s, int sticky,
			   int region, int64_t now_ms)
{
	return average_us(&s->kind_time[sticky != 0][region], now_ms);
}

static int64_t smooth_average(int64_t old, int64_t sample)
{
	return old ? old + (sample - old) / SMOOTHING_DIVISOR : sample;
}

static void add_sample(struct place_average *a, int64_t us, int64_t now)
{
	a->us = smooth_average(average_us(a, now), us);
	a->sampled_ms = now;
}

static void record_duration(struct place_upstream_stats *u,
			    struct place_service_state *s,
			    const struct place_attempt *attempt, int64_t now)
{
	add_sample(&u->latency, attempt->duration_us, now);
	/* The time of a request that queued includes its wait. */
	if (attempt->queued)
		return;
	s->service_time_us[attempt->region] = smooth_average(
		s->service_time_us[attempt->region], attempt->duration_us);
	add_sample(&s->kind_time[attempt->sticky != 0][attempt->region],
		   attempt->duration_us, now);
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
		/* Not ejected: an upstream that accepts connections may break
		 * only a few answers. The failure average counts it. */
		break;
	case PLACE_UNREACHED:
		eject(u, now_ms);
		break;
	}
}

void place_record_load(struct place_upstream_stats *u, int running, int waiting,
		       int own_outstanding, int64_t told_ms)
{
	int others = running + waiting - own_outstanding;

	/* The report may still include the request that it answers, and miss
	 * requests that the upstream has not received yet. */
	u->report.others_inflight_milli =
		others > 0 ? (int64_t)others * THOUSAND : 0;
	u->report.reported_ms = told_ms;
}

void place_record_slowness(struct place_upstream_stats *u, int percent,
			   int64_t now_ms)
{
	u->slowness_permille = percent * THOUSAND / PERCENT;
	u->slowness_reported_ms = now_ms;
}

int64_t place_report_age_ms(const struct place_upstream_stats *u,
			    int64_t now_ms)
{
	return u->report.reported_ms ? now_ms - u->report.reported_ms
				     : PRL_NEVER;
}
