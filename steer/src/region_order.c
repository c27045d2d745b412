#include <primroselead/hash.h>
#include <primroselead/steer.h>

#define PERMILLE 1000

/* Makes the hash for shifts independent of the hash for home regions. */
#define SHIFT_SEED 0x5368696674ULL

int steer_home_region(const struct steer_service *s, int nregion, int entered,
		      uint64_t block)
{
	uint64_t total = 0;
	uint64_t draw;

	if (s->region[entered].capacity > 0)
		return entered;
	for (int r = 0; r < nregion; r++)
		if (s->region[r].capacity > 0)
			total += (uint64_t)s->region[r].weight;
	if (!total) {
		for (int r = 0; r < nregion; r++)
			if (s->region[r].capacity > 0)
				return r;
		return STEER_NONE;
	}
	draw = prl_hash_combine(block, 0) % total;
	for (int r = 0; r < nregion; r++) {
		if (s->region[r].capacity <= 0)
			continue;
		if (draw < (uint64_t)s->region[r].weight)
			return r;
		draw -= (uint64_t)s->region[r].weight;
	}
	return STEER_NONE;
}

int steer_is_shifted(const struct steer_shift *shift, int home, uint64_t block)
{
	int share = shift->share_permille < shift->cap_permille
			    ? shift->share_permille
			    : shift->cap_permille;

	if (shift->from == STEER_NONE || shift->from != home)
		return 0;
	return prl_hash_combine(block, SHIFT_SEED) % PERMILLE < (uint64_t)share;
}

static void append_region(const struct steer_service *s,
			  struct steer_region_order *out, int region,
			  enum steer_reason reason)
{
	if (s->region[region].capacity <= 0)
		return;
	for (int i = 0; i < out->n; i++)
		if (out->region[i] == region)
			return;
	out->region[out->n] = region;
	out->reason[out->n] = reason;
	out->n++;
}

void steer_order_regions(const struct steer_service *s, int home, int shifted,
			 struct steer_region_order *out)
{
	const struct steer_service_region *home_region = &s->region[home];

	out->n = 0;
	if (shifted)
		append_region(s, out, s->shift.to, STEER_SHIFTED);
	append_region(s, out, home, STEER_LOCAL);
	for (int i = 0; i < home_region->nspill; i++)
		append_region(s, out, home_region->spill[i], STEER_SPILLED);
}
