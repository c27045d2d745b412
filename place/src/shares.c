#include <math.h>
#include <primroselead/hash.h>
#include <primroselead/place.h>
#include <string.h>
#include <sys/param.h>

#define MILLION 1000000
#define THOUSAND 1000

/* Range of the own region's occupancy, below the greatest useful one, within
 * which its share is the planned one, in permille. */
#define OCCUPANCY_RANGE_PERMILLE 200

/* Least share of the own region from which its bounds are computed, so that a
 * share that was lost grows again, in millionths. */
#define SHARE_MIN_PPM 100

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

/* The planned share, so that all VMs of the region agree on it, as long as the
 * region is neither crowded nor idle with it by this VM's measurement.
 * While the others are as full as the own region, moving requests there only
 * costs them their warm caches. */
static int64_t own_region_target(const struct place_shares *s,
				 const struct place_region_load *load,
				 int nregion, int64_t plan, int own)
{
	int64_t occupancy = occupancy_permille(&load[own]);
	int64_t others = others_occupancy_permille(load, nregion, own);
	int64_t n = load[own].nupstream;
	int64_t slots = load[own].slots + load[own].ejected_slots;
	int64_t high = MAX(place_occupancy_max(n ? slots / n : slots), others);
	int64_t share = MAX(s->share_ppm[own], SHARE_MIN_PPM);
	int64_t most;
	int64_t least;

	if (!load[own].slots)
		return 0;
	if (!s->initialized)
		return plan;
	if (!occupancy)
		return MILLION;
	most = share * high / occupancy;
	least = share * (high - OCCUPANCY_RANGE_PERMILLE) / occupancy;
	if (plan > most)
		plan = most;
	if (plan < least)
		plan = least;
	return plan < MILLION ? plan : MILLION;
}

/* Divides what the own region does not get by the plan; by the free slots if it
 * plans everything there. */
static void set_targets(const struct place_shares *s,
			const struct place_region_load *load, int nregion,
			int own, int64_t *target)
{
	int64_t plan[STEER_REGIONS_MAX];
	int64_t part[STEER_REGIONS_MAX];
	int64_t total = 0;

	memset(target, 0, sizeof(*target) * STEER_REGIONS_MAX);
	place_region_split(load, nregion, own, plan);
	for (int r = 0; r < nregion; r++) {
		part[r] = plan[own] < MILLION ? plan[r]
					      : free_slots_milli(&load[r]);
		if (r == own)
			part[r] = 0;
		total += part[r];
	}
	target[own] =
		total ? own_region_target(s, load, nregion, plan[own], own)
		      : MILLION;
	for (int r = 0; r < nregion; r++)
		if (r != own && total)
			target[r] = (MILLION - target[own]) * part[r] / total;
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
