#include <primroselead/steer.h>

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
