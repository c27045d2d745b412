#include <math.h>
#include <primroselead/hash.h>
#include <primroselead/place.h>
#include <string.h>

#define WHOLE 1000000
#define THOUSAND 1000

/* Occupancy of a region's slots above which it gives requests away, and below
 * which its own come back, in permille. */
#define OCCUPANCY_HIGH 850
#define OCCUPANCY_LOW 650

/* Requests by which a region may be ahead of its share for the sake of objects
 * that it has at hand: the shares of any two windows hardly differ by it. */
#define DEBT_MAX 3

/* Keeps the hashes of regions apart from those of upstreams. */
#define REGION_SEED 0x526567696f6eULL

/* Values that a hash takes once it has been cut to 53 bits. */
#define HASH_STEPS 9007199254740992.0

/* Least room counted of a region that is full, in permille of its slots: what
 * is known of a far region is old. */
#define ROOM_LEAST 50

static int64_t occupancy(const struct place_region_load *l)
{
	return l->slots ? l->inflight_milli / l->slots : THOUSAND;
}

static int64_t room(const struct place_region_load *l)
{
	int64_t free = THOUSAND - occupancy(l);

	return l->slots * (free > ROOM_LEAST ? free : ROOM_LEAST);
}

static int64_t total_slots(const struct place_region_load *load, int nregion)
{
	int64_t total = 0;

	for (int r = 0; r < nregion; r++)
		total += load[r].slots;
	return total;
}

/* Share of the own region while nothing is known of the demand: as if each
 * region's callers asked for as much. */
static int64_t first_share(const struct place_region_load *load, int nregion,
			   int own)
{
	int64_t total = total_slots(load, nregion);
	int64_t share = load[own].slots * nregion * WHOLE / total;

	return share < WHOLE ? share : WHOLE;
}

static int64_t own_target(const struct place_shares *s,
			  const struct place_region_load *load, int nregion,
			  int own)
{
	int64_t full = occupancy(&load[own]);

	if (!load[own].slots)
		return 0;
	if (!s->initialized)
		return first_share(load, nregion, own);
	if (full > OCCUPANCY_HIGH)
		return s->weight_ppm[own] * OCCUPANCY_HIGH / full;
	if (full < OCCUPANCY_LOW)
		return WHOLE;
	return s->weight_ppm[own];
}

static void set_targets(const struct place_shares *s,
			const struct place_region_load *load, int nregion,
			int own, int64_t *target)
{
	int64_t rest = 0;

	memset(target, 0, sizeof(*target) * STEER_REGIONS_MAX);
	for (int r = 0; r < nregion; r++)
		if (r != own)
			rest += room(&load[r]);
	target[own] = rest ? own_target(s, load, nregion, own) : WHOLE;
	for (int r = 0; r < nregion; r++)
		if (r != own && rest)
			target[r] =
				(WHOLE - target[own]) * room(&load[r]) / rest;
}

/* A region that can serve nothing gives its share to the others. */
static void drop_lost(struct place_shares *s,
		      const struct place_region_load *load, int nregion)
{
	int64_t left = 0;

	for (int r = 0; r < nregion; r++) {
		if (!load[r].slots)
			s->weight_ppm[r] = 0;
		left += s->weight_ppm[r];
	}
	if (!left)
		s->initialized = 0;
	for (int r = 0; r < nregion && left; r++)
		s->weight_ppm[r] = s->weight_ppm[r] * WHOLE / left;
}

static int64_t greatest_gap(const struct place_shares *s, const int64_t *target,
			    int nregion)
{
	int64_t up = 0;

	for (int r = 0; r < nregion; r++)
		if (target[r] > s->weight_ppm[r])
			up += target[r] - s->weight_ppm[r];
	return up;
}

void place_shares_update(struct place_shares *s,
			 const struct place_region_load *load, int nregion,
			 int own, int64_t pace, int64_t now_ms)
{
	int64_t target[STEER_REGIONS_MAX];
	int64_t gap;
	int64_t most;

	if (!total_slots(load, nregion)) {
		memset(s->weight_ppm, 0, sizeof(s->weight_ppm));
		s->initialized = 0;
		return;
	}
	drop_lost(s, load, nregion);
	set_targets(s, load, nregion, own, target);
	if (!s->initialized) {
		memcpy(s->weight_ppm, target, sizeof(s->weight_ppm));
		s->initialized = 1;
		s->updated_ms = now_ms;
		return;
	}
	most = pace * (now_ms - s->updated_ms) / THOUSAND;
	gap = greatest_gap(s, target, nregion);
	s->updated_ms = now_ms;
	if (gap <= 0)
		return;
	if (most > gap)
		most = gap;
	for (int r = 0; r < nregion; r++)
		s->weight_ppm[r] += (target[r] - s->weight_ppm[r]) * most / gap;
}

/* Region of an object by rendezvous hashing with the shares as weights: a share
 * that moves a little moves few objects. */
static int region_of(const struct place_shares *s, uint32_t mask,
		     uint64_t object)
{
	double least = 0;
	int best = STEER_NONE;

	for (int r = 0; r < STEER_REGIONS_MAX; r++) {
		uint64_t h = prl_hash_pair(object, (uint64_t)r + REGION_SEED);
		double score;

		if (!s->weight_ppm[r] || !(mask >> r & 1))
			continue;
		/* In (0, 1]; its logarithm is never positive. */
		score = -log(((double)(h >> 11) + 1) / HASH_STEPS) /
			(double)s->weight_ppm[r];
		if (best == STEER_NONE || score < least) {
			least = score;
			best = r;
		}
	}
	return best;
}

static int region_owed_most(const struct place_shares *s, uint32_t mask)
{
	int best = STEER_NONE;

	for (int r = 0; r < STEER_REGIONS_MAX; r++) {
		if (!s->weight_ppm[r] || !(mask >> r & 1))
			continue;
		if (best == STEER_NONE || s->credit[r] > s->credit[best])
			best = r;
	}
	return best;
}

int place_shares_next_region(struct place_shares *s, uint32_t mask,
			     uint64_t object)
{
	int64_t total = 0;
	int best;

	for (int r = 0; r < STEER_REGIONS_MAX; r++) {
		if (!(mask >> r & 1))
			continue;
		s->credit[r] += s->weight_ppm[r];
		total += s->weight_ppm[r];
	}
	best = object ? region_of(s, mask, object) : STEER_NONE;
	if (best == STEER_NONE || s->credit[best] - total < -total * DEBT_MAX)
		best = region_owed_most(s, mask);
	if (best != STEER_NONE)
		s->credit[best] -= total;
	return best;
}
