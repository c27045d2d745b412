#include <math.h>
#include <primroselead/hash.h>
#include <primroselead/place.h>
#include <string.h>
#include <sys/param.h>

#define MILLION 1000000
#define THOUSAND 1000

/* Occupancy of the own region's slots above which its share shrinks, and below
 * which it grows to the whole, in permille. */
#define OCCUPANCY_HIGH_PERMILLE 850
#define OCCUPANCY_LOW_PERMILLE 650

/* Requests by which a region may be ahead of its share to keep its objects: few
 * enough to hardly matter in the shares of a window of 2 s. */
#define LEAD_MAX_REQUESTS 3

/* Makes the hashes of regions independent of those of upstreams. */
#define REGION_SEED 0x526567696f6eULL

/* Number of values of a hash cut to 53 bits, which a double holds exactly. */
#define HASH_RANGE 9007199254740992.0

/* Part of a region's slots that counts as free even if the region is full, in
 * permille: load reports of other regions may be out of date. */
#define FREE_MIN_PERMILLE 50

static int64_t occupancy_permille(const struct place_region_load *l)
{
	return l->slots ? l->inflight_milli / l->slots : THOUSAND;
}

static int64_t free_slots_milli(const struct place_region_load *l)
{
	int64_t free = THOUSAND - occupancy_permille(l);

	return l->slots * (free > FREE_MIN_PERMILLE ? free : FREE_MIN_PERMILLE);
}

static int64_t total_slots(const struct place_region_load *load, int nregion)
{
	int64_t total = 0;

	for (int r = 0; r < nregion; r++)
		total += load[r].slots;
	return total;
}

/* Share of the own region while its load is unknown; assumes that the callers
 * of every region send equally many requests. */
static int64_t initial_own_share(const struct place_region_load *load,
				 int nregion, int own)
{
	int64_t total = total_slots(load, nregion);
	int64_t share = load[own].slots * nregion * MILLION / total;

	return share < MILLION ? share : MILLION;
}

/* Occupancy of all other regions together, in permille. */
static int64_t others_occupancy_permille(const struct place_region_load *load,
					 int nregion, int own)
{
	struct place_region_load others = {0};

	for (int r = 0; r < nregion; r++) {
		if (r == own)
			continue;
		others.slots += load[r].slots;
		others.inflight_milli += load[r].inflight_milli;
	}
	return occupancy_permille(&others);
}

/* While the others are as full as the own region, moving requests there only
 * costs them their warm caches. */
static int64_t own_region_target(const struct place_shares *s,
				 const struct place_region_load *load,
				 int nregion, int own)
{
	int64_t occupancy = occupancy_permille(&load[own]);
	int64_t others = others_occupancy_permille(load, nregion, own);
	int64_t high = MAX(OCCUPANCY_HIGH_PERMILLE, others);
	int64_t low =
		MAX(OCCUPANCY_LOW_PERMILLE,
		    others * OCCUPANCY_LOW_PERMILLE / OCCUPANCY_HIGH_PERMILLE);

	if (!load[own].slots)
		return 0;
	if (!s->initialized)
		return initial_own_share(load, nregion, own);
	if (occupancy > high)
		return s->share_ppm[own] * high / occupancy;
	if (occupancy < low)
		return MILLION;
	return s->share_ppm[own];
}

static void set_targets(const struct place_shares *s,
			const struct place_region_load *load, int nregion,
			int own, int64_t *target)
{
	int64_t total_free = 0;

	memset(target, 0, sizeof(*target) * STEER_REGIONS_MAX);
	for (int r = 0; r < nregion; r++)
		if (r != own)
			total_free += free_slots_milli(&load[r]);
	target[own] =
		total_free ? own_region_target(s, load, nregion, own) : MILLION;
	for (int r = 0; r < nregion; r++)
		if (r != own && total_free)
			target[r] = (MILLION - target[own]) *
				    free_slots_milli(&load[r]) / total_free;
}

/* Divides the shares of regions without slots among the others. */
static void drop_empty_regions(struct place_shares *s,
			       const struct place_region_load *load,
			       int nregion)
{
	int64_t total = 0;

	for (int r = 0; r < nregion; r++) {
		if (!load[r].slots)
			s->share_ppm[r] = 0;
		total += s->share_ppm[r];
	}
	if (!total)
		s->initialized = 0;
	for (int r = 0; r < nregion && total; r++)
		s->share_ppm[r] = s->share_ppm[r] * MILLION / total;
}

/* Sum of the increases from the shares to the targets, which is how much of the
 * load has to move. */
static int64_t total_increase(const struct place_shares *s,
			      const int64_t *target, int nregion)
{
	int64_t increase = 0;

	for (int r = 0; r < nregion; r++)
		if (target[r] > s->share_ppm[r])
			increase += target[r] - s->share_ppm[r];
	return increase;
}

void place_shares_update(struct place_shares *s,
			 const struct place_region_load *load, int nregion,
			 int own, int64_t rate, int64_t now_ms)
{
	int64_t target[STEER_REGIONS_MAX];
	int64_t distance;
	int64_t step;

	if (!total_slots(load, nregion)) {
		memset(s->share_ppm, 0, sizeof(s->share_ppm));
		s->initialized = 0;
		return;
	}
	drop_empty_regions(s, load, nregion);
	set_targets(s, load, nregion, own, target);
	if (!s->initialized) {
		memcpy(s->share_ppm, target, sizeof(s->share_ppm));
		s->initialized = 1;
		s->updated_ms = now_ms;
		return;
	}
	step = rate * (now_ms - s->updated_ms) / THOUSAND;
	distance = total_increase(s, target, nregion);
	s->updated_ms = now_ms;
	if (distance <= 0)
		return;
	if (step > distance)
		step = distance;
	for (int r = 0; r < nregion; r++)
		s->share_ppm[r] +=
			(target[r] - s->share_ppm[r]) * step / distance;
}

/* Region of an object by weighted rendezvous hashing: a small change of the
 * shares moves few objects. */
static int region_of_object(const struct place_shares *s, uint32_t mask,
			    const uint64_t *region_id, uint64_t object)
{
	double least = 0;
	int best = STEER_NONE;

	for (int r = 0; r < STEER_REGIONS_MAX; r++) {
		uint64_t h;
		double score;

		if (!s->share_ppm[r] || !(mask >> r & 1))
			continue;
		h = prl_hash_combine(object, region_id[r] + REGION_SEED);
		/* The argument is in (0, 1], so the score is not negative. */
		score = -log(((double)(h >> 11) + 1) / HASH_RANGE) /
			(double)s->share_ppm[r];
		if (best == STEER_NONE || score < least) {
			least = score;
			best = r;
		}
	}
	return best;
}

static int highest_credit_region(const struct place_shares *s, uint32_t mask)
{
	int best = STEER_NONE;

	for (int r = 0; r < STEER_REGIONS_MAX; r++) {
		if (!s->share_ppm[r] || !(mask >> r & 1))
			continue;
		if (best == STEER_NONE || s->credit[r] > s->credit[best])
			best = r;
	}
	return best;
}

int place_shares_next_region(struct place_shares *s, uint32_t mask,
			     const uint64_t *region_id, uint64_t object)
{
	int64_t total = 0;
	int best;

	for (int r = 0; r < STEER_REGIONS_MAX; r++) {
		if (!(mask >> r & 1))
			continue;
		s->credit[r] += s->share_ppm[r];
		total += s->share_ppm[r];
	}
	best = object ? region_of_object(s, mask, region_id, object)
		      : STEER_NONE;
	if (best == STEER_NONE ||
	    s->credit[best] - total < -total * LEAD_MAX_REQUESTS)
		best = highest_credit_region(s, mask);
	if (best != STEER_NONE)
		s->credit[best] -= total;
	return best;
}
