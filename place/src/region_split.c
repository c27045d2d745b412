/* Planned split of the requests of one region's callers over the regions. */
#include <primroselead/place.h>
#include <string.h>

#define MILLION 1000000
#define THOUSAND 1000

/* Wait for a slot that is as bad as a run in another region, in permille of the
 * service time. */
#define WAIT_MAX_PERMILLE 500

/* Bounds and step of the occupancy that is looked for, in permille. */
#define OCCUPANCY_MAX_PERMILLE 850
#define OCCUPANCY_MIN_PERMILLE 500
#define OCCUPANCY_STEP_PERMILLE 10

/* Slots from which the wait is short up to the greatest occupancy. */
#define MANY_SLOTS 64

/* Mean wait in a queue with c slots at an occupancy, in units of the service
 * time, by the Erlang C formula. */
static double erlang_wait(int64_t c, double occupancy)
{
	double offered = (double)c * occupancy;
	double blocked = 1;

	for (int64_t k = 1; k <= c; k++)
		blocked = offered * blocked / ((double)k + offered * blocked);
	return blocked / (1 - occupancy * (1 - blocked)) /
	       ((double)c * (1 - occupancy));
}

int64_t place_occupancy_max(int64_t slots)
{
	int64_t permille = OCCUPANCY_MAX_PERMILLE;

	if (slots >= MANY_SLOTS || slots < 1)
		return permille;
	while (permille > OCCUPANCY_MIN_PERMILLE &&
	       erlang_wait(slots, (double)permille / THOUSAND) * THOUSAND >
		       WAIT_MAX_PERMILLE)
		permille -= OCCUPANCY_STEP_PERMILLE;
	return permille;
}

/* Slots of a region that all VMs know to be usable. */
static int64_t slots_of(const struct place_region_load *l)
{
	return l->slots + l->ejected_slots;
}

static int64_t demand_of(const struct place_region_load *load, int nregion,
			 int region)
{
	for (int r = 0; r < nregion; r++)
		if (!load[r].demand_milli)
			return THOUSAND;
	return load[region].demand_milli;
}

/* The region's part of all demand that is equal to its part of all slots. */
static int64_t carried(const struct place_region_load *load, int nregion,
		       int region)
{
	int64_t demand = 0;
	int64_t slots = 0;

	for (int r = 0; r < nregion; r++) {
		demand += demand_of(load, nregion, r);
		slots += slots_of(&load[r]);
	}
	return slots ? demand * slots_of(&load[region]) / slots : 0;
}

void place_region_split(const struct place_region_load *load, int nregion,
			int own, int64_t share_ppm[STEER_REGIONS_MAX])
{
	int64_t demand = demand_of(load, nregion, own);
	int64_t at_home = carried(load, nregion, own);
	int64_t spare[STEER_REGIONS_MAX] = {0};
	int64_t total_spare = 0;

	memset(share_ppm, 0, sizeof(*share_ppm) * STEER_REGIONS_MAX);
	for (int r = 0; r < nregion; r++) {
		spare[r] =
			carried(load, nregion, r) - demand_of(load, nregion, r);
		if (r == own || spare[r] < 0)
			spare[r] = 0;
		total_spare += spare[r];
	}
	if (at_home >= demand || !total_spare) {
		share_ppm[own] = slots_of(&load[own]) ? MILLION : 0;
		return;
	}
	share_ppm[own] = at_home * MILLION / demand;
	for (int r = 0; r < nregion; r++)
		share_ppm[r] +=
			(MILLION - share_ppm[own]) * spare[r] / total_spare;
}
