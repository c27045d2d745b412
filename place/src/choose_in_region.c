#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/place.h>

/* Positions of the rendezvous order that are told apart; all upstreams after
 * them count as the next position. */
#define ORDERED_RANKS 4

const struct place_params place_default_params = {
	.home_count = 2,
	.second_home_penalty_permille = 700,
	.non_home_penalty_permille = 2000,
	.idle_max_permille = 125,
	.failure_penalty_permille = 2000,
	.wait_max_permille = 450,
	.urgent_wait_max_permille = 1200,
};

#define THOUSAND 1000

static int was_tried(const struct place_candidates *c, int i)
{
	for (int k = 0; k < c->ntried; k++)
		if (c->tried_ids[k] == c->upstream[i].id)
			return 1;
	return 0;
}

static int is_usable(const struct place_candidates *c, int i)
{
	return c->upstream[i].state == STEER_ACTIVE &&
	       c->estimate[i].available && !was_tried(c, i);
}

static int64_t expected_wait_ms(const struct place_candidates *c, int i)
{
	int64_t slots = c->upstream[i].slots;
	int64_t excess =
		c->estimate[i].inflight_milli + THOUSAND - slots * THOUSAND;

	if (excess <= 0)
		return 0;
	return excess * c->service_time_ms / (slots * THOUSAND);
}

static int64_t rank_penalty(const struct place_candidates *c, int rank)
{
	if (!c->sticky || !rank)
		return 0;
	return rank < c->params->home_count
		       ? c->params->second_home_penalty_permille
		       : c->params->non_home_penalty_permille;
}

/* Whether an upstream that is not a home may take the object. */
static int is_idle(const struct place_candidates *c, int i)
{
	return c->estimate[i].inflight_milli <=
	       (int64_t)c->upstream[i].slots * c->params->idle_max_permille;
}

/* Whether an upstream that is not a home may answer in time without the object
 * in its cache. */
static int has_time_for_miss(const struct place_candidates *c)
{
	int64_t permille = THOUSAND + c->params->non_home_penalty_permille;

	return c->service_time_ms * permille / THOUSAND < c->time_left_ms;
}

/* Expected time of the request at an upstream, penalties included, in ms. */
static int64_t expected_cost_ms(const struct place_candidates *c, int i,
				int rank)
{
	const struct place_estimate *e = &c->estimate[i];
	int64_t time = expected_wait_ms(c, i) + c->service_time_ms;

	if (e->slowness_permille > THOUSAND)
		time = time * e->slowness_permille / THOUSAND;
	time += c->service_time_ms * c->params->failure_penalty_permille *
		e->failure_permille / (THOUSAND * THOUSAND);
	return time + c->service_time_ms * rank_penalty(c, rank) / THOUSAND;
}

static uint64_t rendezvous_hash(const struct place_candidates *c, int i)
{
	return prl_hash_combine(c->object_hash, c->upstream[i].id);
}

/* Returns the usable upstream with the greatest hash below a bound. */
static int next_in_order(const struct place_candidates *c, uint64_t bound)
{
	uint64_t greatest = 0;
	int best = STEER_NONE;

	for (int i = 0; i < c->n; i++) {
		uint64_t h;

		if (!is_usable(c, i))
			continue;
		h = rendezvous_hash(c, i);
		if (h < bound && h >= greatest) {
			greatest = h;
			best = i;
		}
	}
	return best;
}

/* Takes an upstream if its wait is useful and its cost the lowest so far. While
 * none is taken, out->wait_ms is the shortest wait seen, or PRL_NEVER. */
static void consider_candidate(const struct place_candidates *c, int i,
			       int rank, int64_t *least_cost,
			       struct place_region_decision *out)
{
	int64_t wait = expected_wait_ms(c, i);
	int64_t cost;

	if (out->upstream == STEER_NONE && wait < out->wait_ms)
		out->wait_ms = wait;
	if (wait > c->wait_max_ms)
		return;
	if (c->sticky && rank >= c->params->home_count &&
	    (!is_idle(c, i) || !has_time_for_miss(c)))
		return;
	cost = expected_cost_ms(c, i, rank);
	if (out->upstream != STEER_NONE && cost >= *least_cost)
		return;
	*least_cost = cost;
	out->upstream = i;
	out->wait_ms = wait;
	out->rank = rank;
}

void place_choose_in_region(const struct place_candidates *c,
			    struct place_region_decision *out)
{
	uint64_t bound = UINT64_MAX;
	int64_t least_cost = 0;
	int rank = 0;

	out->upstream = STEER_NONE;
	out->wait_ms = PRL_NEVER;
	out->rank = 0;
	for (; rank < ORDERED_RANKS; rank++) {
		int i = next_in_order(c, bound);

		if (i == STEER_NONE)
			break;
		bound = rendezvous_hash(c, i);
		consider_candidate(c, i, rank, &least_cost, out);
	}
	for (int i = 0; rank == ORDERED_RANKS && i < c->n; i++)
		if (is_usable(c, i) && rendezvous_hash(c, i) < bound)
			consider_candidate(c, i, ORDERED_RANKS, &least_cost,
					   out);
}
