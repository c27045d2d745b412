#include <primroselead/steer.h>
#include <string.h>

#define WHOLE 1000000
#define THOUSAND 1000

/* Occupancy of a region's slots above which it gives requests away, and below
 * which its own come back, in permille. */
#define OCCUPANCY_HIGH 850
#define OCCUPANCY_LOW 650

/* Least room counted of a region that is full, in permille of its slots: what
 * is believed of a far region is old. */
#define ROOM_LEAST 50

static int64_t occupancy(const struct steer_region_load *l)
{
	return l->slots ? l->inflight / l->slots : THOUSAND;
}

static int64_t room(const struct steer_region_load *l)
{
	int64_t free = THOUSAND - occupancy(l);

	return l->slots * (free > ROOM_LEAST ? free : ROOM_LEAST);
}

static int64_t total_slots(const struct steer_region_load *load, int nregion)
{
	int64_t total = 0;

	for (int r = 0; r < nregion; r++)
		total += load[r].slots;
	return total;
}

/* Share of the own region while nothing is known of the demand: as if each
 * region's callers asked for as much. */
static int64_t first_share(const struct steer_region_load *load, int nregion,
			   int own)
{
	int64_t total = total_slots(load, nregion);
	int64_t share = load[own].slots * nregion * WHOLE / total;

	return share < WHOLE ? share : WHOLE;
}

static int64_t own_target(const struct steer_shares *s,
			  const struct steer_region_load *load, int nregion,
			  int own)
{
	int64_t full = occupancy(&load[own]);

	if (!load[own].slots)
		return 0;
	if (!s->ready)
		return first_share(load, nregion, own);
	if (full > OCCUPANCY_HIGH)
		return s->weight[own] * OCCUPANCY_HIGH / full;
	if (full < OCCUPANCY_LOW)
		return WHOLE;
	return s->weight[own];
}

static void set_targets(const struct steer_shares *s,
			const struct steer_region_load *load, int nregion,
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
static void drop_lost(struct steer_shares *s,
		      const struct steer_region_load *load, int nregion)
{
	int64_t left = 0;

	for (int r = 0; r < nregion; r++) {
		if (!load[r].slots)
			s->weight[r] = 0;
		left += s->weight[r];
	}
	if (!left)
		s->ready = 0;
	for (int r = 0; r < nregion && left; r++)
		s->weight[r] = s->weight[r] * WHOLE / left;
}

static int64_t greatest_gap(const struct steer_shares *s, const int64_t *target,
			    int nregion)
{
	int64_t up = 0;

	for (int r = 0; r < nregion; r++)
		if (target[r] > s->weight[r])
			up += target[r] - s->weight[r];
	return up;
}

void steer_shares_update(struct steer_shares *s,
			 const struct steer_region_load *load, int nregion,
			 int own, int64_t pace, int64_t now_ms)
{
	int64_t target[STEER_REGIONS_MAX];
	int64_t gap;
	int64_t most;

	if (!total_slots(load, nregion)) {
		memset(s->weight, 0, sizeof(s->weight));
		s->ready = 0;
		return;
	}
	drop_lost(s, load, nregion);
	set_targets(s, load, nregion, own, target);
	if (!s->ready) {
		memcpy(s->weight, target, sizeof(s->weight));
		s->ready = 1;
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
		s->weight[r] += (target[r] - s->weight[r]) * most / gap;
}

int steer_shares_next(struct steer_shares *s, uint32_t mask)
{
	int64_t total = 0;
	int best = STEER_NONE;

	for (int r = 0; r < STEER_REGIONS_MAX; r++) {
		if (!s->weight[r] || !(mask >> r & 1))
			continue;
		s->credit[r] += s->weight[r];
		total += s->weight[r];
		if (best == STEER_NONE || s->credit[r] > s->credit[best])
			best = r;
	}
	if (best != STEER_NONE)
		s->credit[best] -= total;
	return best;
}

int steer_next_part(const struct steer_route *r,
		    int64_t credit[FLEET_PARTS_MAX])
{
	int64_t total = 0;
	int best = STEER_NONE;

	for (int i = 0; i < r->npart; i++) {
		if (r->part[i].weight <= 0)
			continue;
		credit[i] += r->part[i].weight;
		total += r->part[i].weight;
		if (best == STEER_NONE || credit[i] > credit[best])
			best = i;
	}
	if (best != STEER_NONE)
		credit[best] -= total;
	return best;
}
