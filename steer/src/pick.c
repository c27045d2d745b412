#include <primroselead/hash.h>
#include <primroselead/steer.h>

/* Age at which a load report has decayed to 0, in milliseconds. */
#define REPORT_AGE_MAX_MS 2000

/* Share of failures above which an upstream counts as failing, in permille. */
#define FAILING_PERMILLE 200

/* Share of the choices of a failing upstream that stand, in permille, so that
 * its recovery is noticed. */
#define FAILING_PROBE_PERMILLE 20

/* Part of an upstream's slots used at the beginning of its slow start, in
 * percent. */
#define WARMUP_MIN_PERCENT 20

#define PERCENT 100
#define PERMILLE 1000

/* Latency assumed of an upstream without a sample, in microseconds. */
#define LATENCY_DEFAULT_US 1000

/* Slots that may be used: all of them after the slow start, at least one. */
static int usable_slots(const struct steer_pick_input *p, int i)
{
	int64_t age = p->now_ms - p->load[i].first_seen_ms;
	int slots = p->upstream[i].slots;
	int64_t percent;

	if (age >= p->warmup_ms)
		return slots;
	percent = WARMUP_MIN_PERCENT + (PERCENT - WARMUP_MIN_PERCENT) *
					       (age < 0 ? 0 : age) /
					       p->warmup_ms;
	slots = (int)(slots * percent / PERCENT);
	return slots ? slots : 1;
}

static int is_usable(const struct steer_pick_input *p, int i)
{
	if (i == p->excluded || p->upstream[i].state != STEER_ACTIVE)
		return 0;
	return p->load[i].outstanding < usable_slots(p, i);
}

static int is_failing(const struct steer_pick_input *p, int i)
{
	return p->load[i].failure_permille > FAILING_PERMILLE;
}

/*
 * Requests at the upstream in thousandths: this process's own, and those of
 * others by its last load report, which decays linearly with its age. A report
 * of fewer requests than the own ones is ignored.
 */
static int64_t inflight_milli(const struct steer_pick_input *p, int i)
{
	const struct steer_upstream_load *l = &p->load[i];
	int64_t age = p->now_ms - l->reported_ms;
	int64_t others = l->reported_running - l->outstanding;

	if (l->reported_running < 0 || age >= REPORT_AGE_MAX_MS || others < 0)
		return (int64_t)l->outstanding * PERMILLE;
	return (int64_t)l->outstanding * PERMILLE +
	       others * (REPORT_AGE_MAX_MS - age) * PERMILLE /
		       REPORT_AGE_MAX_MS;
}

/* Usable slots that are taken, in thousandths of a percent. A failing upstream
 * gets a large penalty that grows with its share of failures. */
static int64_t occupancy(const struct steer_pick_input *p, int i)
{
	int64_t score = inflight_milli(p, i) * PERCENT / usable_slots(p, i);

	if (is_failing(p, i))
		score += (int64_t)PERMILLE * PERCENT *
			 p->load[i].failure_permille;
	return score;
}

/* Expected time of one more request at the upstream, for comparison only. */
static int64_t expected_time(const struct steer_pick_input *p, int i)
{
	int64_t latency = p->load[i].latency_us;
	int64_t base =
		occupancy(p, i) + PERMILLE * PERCENT / usable_slots(p, i);

	return base * (latency ? latency : LATENCY_DEFAULT_US);
}

static int64_t score(const struct steer_pick_input *p, int i)
{
	switch (p->lb_policy) {
	case STEER_LEAST_OUTSTANDING:
		return p->load[i].outstanding;
	case STEER_POWER_OF_TWO:
		return occupancy(p, i);
	case STEER_PROBE:
		return expected_time(p, i);
	case STEER_RANDOM:
	case STEER_ROUND_ROBIN:
		break;
	}
	return 0;
}

/* Returns the first usable upstream at or after an index, wrapping around. */
static int next_usable(const struct steer_pick_input *p, int start)
{
	for (int k = 0; k < p->n; k++) {
		int i = (start + k) % p->n;

		if (is_usable(p, i))
			return i;
	}
	return STEER_NONE;
}

static int best_of_two(const struct steer_pick_input *p)
{
	uint64_t second_random = prl_hash_combine(p->random, 1);
	int a = next_usable(p, (int)(p->random % (uint64_t)p->n));
	int b = next_usable(p, (int)(second_random % (uint64_t)p->n));

	if (a == STEER_NONE)
		return STEER_NONE;
	if (a == b)
		b = next_usable(p, (b + 1) % p->n);
	/* A few requests still go to a failing upstream, so that its recovery
	 * is noticed. */
	if (is_failing(p, a) &&
	    second_random % PERMILLE < FAILING_PROBE_PERMILLE)
		return a;
	return score(p, a) <= score(p, b) ? a : b;
}

static int best_of_all(const struct steer_pick_input *p)
{
	int first = next_usable(p, (int)(p->random % (uint64_t)p->n));
	int best = first;

	if (first == STEER_NONE)
		return STEER_NONE;
	for (int k = 1; k < p->n; k++) {
		int i = (first + k) % p->n;

		if (is_usable(p, i) && score(p, i) < score(p, best))
			best = i;
	}
	return best;
}

/* Returns the least loaded upstream that has a free slot within this VM's quota
 * and does not fail. Other VMs do not use these slots first, so the requests of
 * this process are normally all that are there. */
static int best_within_quota(const struct steer_pick_input *p)
{
	int start = (int)(p->random % (uint64_t)p->n);
	int best = STEER_NONE;

	for (int k = 0; k < p->n; k++) {
		int i = (start + k) % p->n;

		if (p->load[i].outstanding >= p->quota[i] || !is_usable(p, i) ||
		    is_failing(p, i))
			continue;
		if (best == STEER_NONE || score(p, i) < score(p, best))
			best = i;
	}
	return best;
}

int steer_pick_upstream(const struct steer_pick_input *p)
{
	int own;

	if (p->n <= 0)
		return STEER_NONE;
	own = p->quota ? best_within_quota(p) : STEER_NONE;
	if (own != STEER_NONE)
		return own;
	switch (p->lb_policy) {
	case STEER_RANDOM:
	case STEER_ROUND_ROBIN:
		return next_usable(p, (int)(p->random % (uint64_t)p->n));
	case STEER_LEAST_OUTSTANDING:
		return best_of_all(p);
	case STEER_POWER_OF_TWO:
	case STEER_PROBE:
		return best_of_two(p);
	}
	return STEER_NONE;
}
