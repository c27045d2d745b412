#include <primroselead/steer.h>

int steer_next_split(const struct steer_route *r, int64_t *credit)
{
	int64_t total = 0;
	int best = STEER_NONE;

	for (int i = 0; i < r->nsplit; i++) {
		if (r->split[i].weight_milli <= 0)
			continue;
		credit[i] += r->split[i].weight_milli;
		total += r->split[i].weight_milli;
		if (best == STEER_NONE || credit[i] > credit[best])
			best = i;
	}
	if (best != STEER_NONE)
		credit[best] -= total;
	return best;
}
