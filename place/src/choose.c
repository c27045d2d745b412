#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/place.h>
#include <string.h>

/* Upstreams of one service and region that are weighed. */
#define CANDIDATES_MAX 1024

/* Time of a request while none is known, in us. */
#define HOLD_UNKNOWN_US 200000

/* Greatest change of a region's share, in millionths a second. */
#define SHARE_PACE 32000

/* Requests placed outside of the shares, in permille of all, and how many may
 * come at once. */
#define OVERFLOW_PERMILLE 40
#define OVERFLOW_MOST 2

/* Part of the platform's bound on moves by which what runs in other regions may
 * be ahead of the shares, in percent; the rest is for the shares' own pace. */
#define AHEAD_PERCENT 20

#define WHOLE 1000000
#define THOUSAND 1000
#define PERCENT 100

/* One choice while it is made. */
struct choice {
	const struct place_request *ask;
	/** Room for the candidates of one region. */
	struct place_estimate *estimate;
	struct place_decision *out;
};

static struct place_upstream_stats *known(const struct choice *c,
					  const struct steer_upstream *u)
{
	return &c->ask->stats[u->stats_index];
}

static int outstanding(const struct choice *c, const struct steer_upstream *u)
{
	return c->ask->outstanding(c->ask->ctx, u->stats_index);
}

static int64_t region_hold(const struct choice *c, int region)
{
	int64_t us = c->ask->state->service_time_us[region];

	return us ? us : HOLD_UNKNOWN_US;
}

/* Whether this VM may open one more connection. A thread keeps as many as it
 * had requests there at one time, and does not lend them to others. */
static int may_connect(const struct choice *c, const struct steer_upstream *u)
{
	int share = u->connections_max / c->ask->fleet_threads;

	if (!u->connections_max)
		return 1;
	return outstanding(c, u) < (share > 1 ? share : 1);
}

static int is_open(const struct choice *c, const struct steer_upstream *u)
{
	const struct place_upstream_stats *k = known(c, u);
	int64_t now = c->ask->now_ms;

	if (now < k->ejected_until_ms || now < u->paused_until_ms ||
	    !may_connect(c, u))
		return 0;
	if (now >= u->cold_until_ms)
		return 1;
	return u->cold_rate_milli > 0 &&
	       limit_rate_allows(&k->cold_limit, c->ask->now_us);
}

/* Where every upstream is left alone, they are tried all the same: what made
 * them unreachable may lie on this side. */
static void read_estimates(const struct choice *c,
			   const struct steer_upstream *u, int n, int region)
{
	int64_t now = c->ask->now_ms;
	int closed = 0;

	for (int i = 0; i < n; i++) {
		place_estimate_fill(known(c, &u[i]), outstanding(c, &u[i]),
				    region_hold(c, region), now,
				    &c->estimate[i]);
		c->estimate[i].available = is_open(c, &u[i]);
		closed += now < known(c, &u[i])->ejected_until_ms;
	}
	for (int i = 0; closed == n && i < n; i++)
		c->estimate[i].available =
			now >= u[i].cold_until_ms && may_connect(c, &u[i]);
}

static int64_t wait_max(const struct place_request *a, int64_t hold_ms)
{
	int64_t permille = a->priority <= 1 ? a->params->urgent_wait_max
					    : a->params->wait_max;
	int64_t wait = a->latency_objective_ms * permille / THOUSAND;
	int64_t left = a->deadline_ms - a->now_ms - hold_ms;

	return wait < left ? wait : left;
}

static void take(const struct choice *c, int region,
		 const struct place_region_decision *found)
{
	const struct place_request *a = c->ask;
	int i = a->service->region[region].first_upstream + found->upstream;
	const struct steer_upstream *u = &a->service->upstream[i];

	c->out->region = region;
	c->out->upstream = i;
	c->out->wait_ms = found->wait_ms;
	c->out->rank = found->rank;
	c->out->inflight_milli =
		c->estimate[found->upstream].inflight_milli + THOUSAND;
	if (a->now_ms < u->cold_until_ms)
		limit_rate_record(&known(c, u)->cold_limit, u->cold_rate_milli,
				  a->now_us);
	place_move_window_count(&a->state->move_window, region != a->own_region,
				a->now_ms);
}

/* Requests may stay in the own region, or leave one that serves nothing. */
static int may_move(const struct choice *c, int region)
{
	const struct place_request *a = c->ask;
	int64_t stay = a->state->shares.weight_ppm[a->own_region];
	int64_t ahead = a->shift_permille * AHEAD_PERCENT / PERCENT;

	if (region == a->own_region || !stay ||
	    !(a->region_mask >> a->own_region & 1))
		return 1;
	return place_move_window_allows(&a->state->move_window,
					(WHOLE - stay) / THOUSAND + ahead,
					a->now_ms);
}

static int try_region(const struct choice *c, int region)
{
	const struct place_request *a = c->ask;
	const struct steer_service_region *place = &a->service->region[region];
	int64_t hold_ms = region_hold(c, region) / THOUSAND;
	struct place_candidates ranking = {
		.upstream = a->service->upstream + place->first_upstream,
		.estimate = c->estimate,
		.n = place->nupstream < CANDIDATES_MAX ? place->nupstream
						       : CANDIDATES_MAX,
		.object_hash = a->sticky ? a->object_hash : a->random,
		.sticky = a->sticky,
		.tried_ids = a->tried_ids,
		.ntried = a->ntried,
		.service_time_ms = hold_ms,
		.wait_max_ms = wait_max(a, hold_ms),
		.params = a->params,
	};
	struct place_region_decision found;

	if (!ranking.n || !may_move(c, region))
		return 0;
	read_estimates(c, ranking.upstream, ranking.n, region);
	place_choose_in_region(&ranking, &found);
	if (found.upstream != STEER_NONE) {
		take(c, region, &found);
		return 1;
	}
	if (found.wait_ms < c->out->wait_ms)
		c->out->wait_ms = found.wait_ms;
	return 0;
}

/* The other regions, the own one first. */
static int try_others(const struct choice *c, int planned)
{
	const struct place_request *a = c->ask;

	if (a->own_region != planned && (a->region_mask >> a->own_region & 1) &&
	    try_region(c, a->own_region))
		return 1;
	for (int i = 0; i < a->nregion; i++)
		if (i != a->own_region && i != planned &&
		    (a->region_mask >> i & 1) && try_region(c, i))
			return 1;
	return 0;
}

static void region_load(const struct choice *c, int region,
			struct place_region_load *out)
{
	const struct steer_service *s = c->ask->service;
	const struct steer_service_region *place = &s->region[region];
	int64_t now = c->ask->now_ms;

	memset(out, 0, sizeof(*out));
	for (int i = 0; i < place->nupstream; i++) {
		const struct steer_upstream *u =
			&s->upstream[place->first_upstream + i];

		if (now < known(c, u)->ejected_until_ms ||
		    now < u->cold_until_ms)
			continue;
		out->slots += u->slots;
		out->inflight_milli +=
			place_inflight(known(c, u), outstanding(c, u), now);
	}
}

static void update_shares(const struct choice *c)
{
	const struct place_request *a = c->ask;
	struct place_region_load load[STEER_REGIONS_MAX];

	for (int i = 0; i < a->nregion; i++)
		region_load(c, i, &load[i]);
	place_shares_update(&a->state->shares, load, a->nregion, a->own_region,
			    SHARE_PACE, a->now_ms);
}

int place_choose(const struct place_request *ask, struct place_decision *out)
{
	/* Not cleared: 32 KB for each request, of which few are used. */
	struct place_estimate estimate[CANDIDATES_MAX];
	struct choice c = {.ask = ask, .estimate = estimate, .out = out};
	struct limit_budget *overflow = &ask->state->overflow_budget;
	int planned;

	out->wait_ms = PRL_NEVER;
	update_shares(&c);
	planned =
		place_shares_next_region(&ask->state->shares, ask->region_mask,
					 ask->sticky ? ask->object_hash : 0);
	limit_budget_set_burst(overflow, OVERFLOW_MOST);
	limit_budget_deposit(overflow, OVERFLOW_PERMILLE);
	if (planned != STEER_NONE && try_region(&c, planned))
		return 1;
	if (planned != STEER_NONE && !limit_budget_withdraw(overflow))
		return 0;
	return try_others(&c, planned);
}
