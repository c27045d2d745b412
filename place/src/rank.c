#include <primroselead/hash.h>
#include <primroselead/place.h>

/* Upstreams of an object's order that are weighed one by one. */
#define RANKS 4

const struct place_params place_default_params = {
	.home_count = 2,
	.second_home_penalty = 700,
	.remote_penalty = 2000,
	.idle_max = 125,
	.failure_penalty = 2000,
	.wait_max = 450,
	.urgent_wait_max = 900,
};

#define THOUSAND 1000

static int was_tried(const struct place_candidates *p, int i)
{
	for (int k = 0; k < p->ntried; k++)
		if (p->tried_ids[k] == p->upstream[i].id)
			return 1;
	return 0;
}

static int usable(const struct place_candidates *p, int i)
{
	return p->upstream[i].state == STEER_ACTIVE &&
	       p->estimate[i].available && !was_tried(p, i);
}

static int64_t wait_at(const struct place_candidates *p, int i)
{
	int64_t slots = p->upstream[i].slots;
	int64_t beyond =
		p->estimate[i].inflight_milli + THOUSAND - slots * THOUSAND;

	if (beyond <= 0)
		return 0;
	return beyond * p->service_time_ms / (slots * THOUSAND);
}

static int64_t rank_loss(const struct place_candidates *p, int rank)
{
	if (!p->sticky || !rank)
		return 0;
	return rank < p->params->home_count ? p->params->second_home_penalty
					    : p->params->remote_penalty;
}

/* Whether an upstream may take an object that is hardly at hand there. */
static int is_idle(const struct place_candidates *p, int i)
{
	return p->estimate[i].inflight_milli <=
	       (int64_t)p->upstream[i].slots * p->params->idle_max;
}

/* Expected time of the request there, in ms. */
static int64_t cost_at(const struct place_candidates *p, int i, int rank)
{
	const struct place_estimate *b = &p->estimate[i];
	int64_t time = wait_at(p, i) + p->service_time_ms;

	if (b->slowness_permille > THOUSAND)
		time = time * b->slowness_permille / THOUSAND;
	time += p->service_time_ms * p->params->failure_penalty *
		b->failure_permille / (THOUSAND * THOUSAND);
	return time + p->service_time_ms * rank_loss(p, rank) / THOUSAND;
}

static uint64_t affinity(const struct place_candidates *p, int i)
{
	return prl_hash_pair(p->object_hash, p->upstream[i].id);
}

/* The usable upstream with the greatest hash below a bound. */
static int next_ranked(const struct place_candidates *p, uint64_t below)
{
	uint64_t most = 0;
	int best = STEER_NONE;

	for (int i = 0; i < p->n; i++) {
		uint64_t h;

		if (!usable(p, i))
			continue;
		h = affinity(p, i);
		if (h < below && h >= most) {
			most = h;
			best = i;
		}
	}
	return best;
}

/* Takes an upstream if it is the cheapest so far and its wait is of use. */
static void consider(const struct place_candidates *p, int i, int rank,
		     int64_t *least, struct place_region_decision *out)
{
	int64_t wait = wait_at(p, i);
	int64_t cost;

	if (out->upstream == STEER_NONE &&
	    (out->wait_ms < 0 || wait < out->wait_ms))
		out->wait_ms = wait;
	if (wait > p->wait_max_ms)
		return;
	if (p->sticky && rank >= p->params->home_count && !is_idle(p, i))
		return;
	cost = cost_at(p, i, rank);
	if (out->upstream != STEER_NONE && cost >= *least)
		return;
	*least = cost;
	out->upstream = i;
	out->wait_ms = wait;
	out->rank = rank;
}

void place_choose_in_region(const struct place_candidates *p,
			    struct place_region_decision *out)
{
	uint64_t below = UINT64_MAX;
	int64_t least = 0;
	int rank = 0;

	out->upstream = STEER_NONE;
	out->wait_ms = -1;
	out->rank = 0;
	for (; rank < RANKS; rank++) {
		int i = next_ranked(p, below);

		if (i == STEER_NONE)
			break;
		below = affinity(p, i);
		consider(p, i, rank, &least, out);
	}
	for (int i = 0; rank == RANKS && i < p->n; i++)
		if (usable(p, i) && affinity(p, i) < below)
			consider(p, i, RANKS, &least, out);
	if (out->wait_ms < 0)
		out->wait_ms = 0;
}
