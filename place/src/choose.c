#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/place.h>
#include <string.h>
#include <sys/param.h>

/* Most upstreams of one service and region that are candidates. */
#define CANDIDATES_MAX 1024

/* Service time assumed of a region without a sample, in us. */
#define SERVICE_TIME_DEFAULT_US 200000

/* Greatest change of the shares, in millionths a second. */
#define SHARE_RATE_PPM_PER_S 32000

/* Budget for requests placed in another region than the shares give: the
 * permille of all requests, and the greatest burst in requests. */
#define OVERFLOW_PERMILLE 40
#define OVERFLOW_BURST_REQUESTS 2

/* Part of the platform's bound on moves by which the requests placed in other
 * regions may exceed their shares, in percent; the rest of the bound is left
 * for changes of the shares. */
#define REMOTE_EXCESS_PERCENT 20

/* Age up to which the load that another region tells of itself is used, in ms.
 */
#define TOLD_AGE_MAX_MS 1500

#define MILLION 1000000
#define THOUSAND 1000
#define PERCENT 100

/* State of one call of place_choose(). */
struct placement {
	const struct place_request *request;
	/** Buffer for the candidates of one region. */
	struct place_estimate *estimate;
	struct place_decision *out;
};

static struct place_upstream_stats *stats_of(const struct placement *p,
					     const struct steer_upstream *u)
{
	return &p->request->stats[u->stats_index];
}

static int own_outstanding(const struct placement *p,
			   const struct steer_upstream *u)
{
	return p->request->outstanding(p->request->ctx, u->stats_index);
}

static int64_t region_service_time_us(const struct placement *p, int region)
{
	int64_t us = p->request->state->service_time_us[region];

	return us ? us : SERVICE_TIME_DEFAULT_US;
}

/* Time of this request without a queue: other kinds may take much longer. */
static int64_t request_time_us(const struct placement *p, int region)
{
	const struct place_request *req = p->request;
	int64_t us = place_kind_time_us(req->state, req->sticky, region,
					req->now_ms);

	return us ? us : SERVICE_TIME_DEFAULT_US;
}

/* Whether one more connection to the upstream is within this thread's part of
 * the upstream's limit. Threads keep idle connections open and do not share
 * them, so each has as many connections as it ever had requests at once. */
static int may_open_connection(const struct placement *p,
			       const struct steer_upstream *u)
{
	int share = u->connections_max / p->request->fleet_threads;

	if (!u->connections_max)
		return 1;
	return own_outstanding(p, u) < (share > 1 ? share : 1);
}

/* Whether the upstream's pace allows a request now: that of a cold one, and
 * that of one that names a rate limit. */
static int is_within_rates(const struct placement *p,
			   const struct steer_upstream *u)
{
	const struct place_upstream_stats *stats = stats_of(p, u);
	const struct place_request *req = p->request;

	if (req->now_ms < u->cold_until_ms &&
	    (u->cold_rate_milli <= 0 ||
	     !limit_rate_allows(&stats->cold_limit, req->now_us)))
		return 0;
	return req->now_ms >= u->limited_until_ms ||
	       (req->now_ms >= u->limit_resumes_ms && u->limit_part_milli > 0 &&
		limit_rate_allows(&stats->named_limit, req->now_us));
}

/* Whether the upstream takes requests now, apart from its connections. */
static int is_open(const struct placement *p, const struct steer_upstream *u)
{
	int64_t now = p->request->now_ms;

	return now >= stats_of(p, u)->ejected_until_ms &&
	       now >= u->paused_until_ms && now >= u->closed_until_ms &&
	       is_within_rates(p, u);
}

static int is_available(const struct placement *p,
			const struct steer_upstream *u)
{
	return is_open(p, u) && may_open_connection(p, u);
}

/* If all upstreams are ejected, the ejections are ignored: the cause may be on
 * this side of the connections. */
static void fill_estimates(const struct placement *p,
			   const struct steer_upstream *u, int n, int region)
{
	int64_t now = p->request->now_ms;
	int ejected = 0;

	for (int i = 0; i < n; i++) {
		place_estimate_fill(stats_of(p, &u[i]),
				    own_outstanding(p, &u[i]),
				    region_service_time_us(p, region), now,
				    &p->estimate[i]);
		p->estimate[i].available = is_available(p, &u[i]);
		ejected += now < stats_of(p, &u[i])->ejected_until_ms;
	}
	for (int i = 0; ejected == n && i < n; i++)
		p->estimate[i].available = now >= u[i].paused_until_ms &&
					   now >= u[i].closed_until_ms &&
					   now >= u[i].cold_until_ms &&
					   now >= u[i].limited_until_ms &&
					   may_open_connection(p, &u[i]);
}

static int64_t useful_wait_max_ms(const struct place_request *req,
				  int64_t request_ms)
{
	int64_t permille = req->priority <= 1
				   ? req->params->urgent_wait_max_permille
				   : req->params->wait_max_permille;
	int64_t wait = req->latency_objective_ms * permille / THOUSAND;
	int64_t remaining = req->deadline_ms - req->now_ms - request_ms;

	return wait < remaining ? wait : remaining;
}

static void commit_decision(const struct placement *p, int region,
			    const struct place_region_decision *found)
{
	const struct place_request *req = p->request;
	int i = req->service->region[region].first_upstream + found->upstream;
	const struct steer_upstream *u = &req->service->upstream[i];

	p->out->region = region;
	p->out->upstream = i;
	p->out->wait_ms = found->wait_ms;
	p->out->rank = found->rank;
	p->out->inflight_milli =
		p->estimate[found->upstream].inflight_milli + THOUSAND;
	if (req->now_ms < u->cold_until_ms)
		limit_rate_record(&stats_of(p, u)->cold_limit,
				  u->cold_rate_milli / req->vm_threads,
				  req->now_us);
	if (req->now_ms < u->limited_until_ms)
		limit_rate_record(&stats_of(p, u)->named_limit,
				  u->limit_part_milli / req->vm_threads,
				  req->now_us);
	if (!req->passed_on)
		place_move_window_count(&req->state->move_window,
					region != req->own_region, req->now_ms);
}

/* Whether the request may be placed in a region. Another region than the own
 * one is always allowed if the own one has no share or may not serve the
 * request; else the bound on moves decides. */
static int region_allowed(const struct place_request *req, int region)
{
	int64_t own_share = req->state->shares.share_ppm[req->own_region];
	int64_t excess =
		req->move_max_permille * REMOTE_EXCESS_PERCENT / PERCENT;

	if (region == req->own_region || !own_share ||
	    !(req->region_mask >> req->own_region & 1))
		return 1;
	return place_move_window_allows(
		&req->state->move_window,
		(MILLION - own_share) / THOUSAND + excess, req->now_ms);
}

/* Time until an upstream of the region is neither paused nor closed, or
 * PRL_NEVER if there is none that is active. */
static int64_t wait_for_opening_ms(const struct placement *p, int region)
{
	const struct steer_service *s = p->request->service;
	const struct steer_service_region *sr = &s->region[region];
	int64_t now = p->request->now_ms;
	int64_t shortest = PRL_NEVER;

	for (int i = 0; i < sr->nupstream; i++) {
		const struct steer_upstream *u =
			&s->upstream[sr->first_upstream + i];
		int64_t opens = MAX(u->paused_until_ms, u->closed_until_ms);

		if (u->state == STEER_ACTIVE)
			shortest = MIN(shortest, MAX(opens - now, 0));
	}
	return shortest;
}

static int was_tried(const struct placement *p, const struct steer_upstream *u)
{
	for (int i = 0; i < p->request->ntried; i++)
		if (p->request->tried_ids[i] == u->id)
			return 1;
	return 0;
}

/* Whether an upstream of the region lacks nothing but a connection for the
 * request, which is free once another request ends. */
static int lacks_connection_only(const struct placement *p, int region)
{
	const struct steer_service *s = p->request->service;
	const struct steer_service_region *sr = &s->region[region];

	for (int i = 0; i < sr->nupstream; i++) {
		const struct steer_upstream *u =
			&s->upstream[sr->first_upstream + i];

		if (u->state == STEER_ACTIVE && is_open(p, u) &&
		    !may_open_connection(p, u) && !was_tried(p, u))
			return 1;
	}
	return 0;
}

/* Keeps the shortest wait of the regions without a useful upstream. A queue
 * that gets shorter and a connection that gets free are worth waiting for at
 * this VM; who finds all upstreams closed is told when to come back. */
static void note_wait(const struct placement *p, int region,
		      const struct place_region_decision *found,
		      int64_t wait_max_ms)
{
	int64_t wait = found->wait_ms;
	int64_t delay = wait == PRL_NEVER ? wait : MAX(wait - wait_max_ms, 0);

	if (wait == PRL_NEVER) {
		wait = wait_for_opening_ms(p, region);
		delay = lacks_connection_only(p, region) ? 0 : PRL_NEVER;
	}
	p->out->wait_ms = MIN(p->out->wait_ms, wait);
	p->out->delay_ms = MIN(p->out->delay_ms, delay);
}

static int try_region(const struct placement *p, int region)
{
	const struct place_request *req = p->request;
	const struct steer_service_region *sr = &req->service->region[region];
	int64_t service_ms = region_service_time_us(p, region) / THOUSAND;
	int64_t request_ms = request_time_us(p, region) / THOUSAND;
	struct place_candidates candidates = {
		.upstream = req->service->upstream + sr->first_upstream,
		.estimate = p->estimate,
		.n = sr->nupstream < CANDIDATES_MAX ? sr->nupstream
						    : CANDIDATES_MAX,
		.object_hash = req->sticky ? req->object_hash : req->random,
		.sticky = req->sticky,
		.tried_ids = req->tried_ids,
		.ntried = req->ntried,
		.service_time_ms = service_ms,
		.wait_max_ms = useful_wait_max_ms(req, request_ms),
		.time_left_ms = req->deadline_ms - req->now_ms,
		.params = req->params,
	};
	struct place_region_decision found;

	if (req->full_regions >> region & 1)
		return 0;
	if (!candidates.n || !region_allowed(req, region))
		return 0;
	fill_estimates(p, candidates.upstream, candidates.n, region);
	place_choose_in_region(&candidates, &found);
	if (found.upstream != STEER_NONE) {
		commit_decision(p, region, &found);
		return 1;
	}
	note_wait(p, region, &found, candidates.wait_max_ms);
	return 0;
}

/* Tries all regions but the planned one, the own region first. */
static int try_other_regions(const struct placement *p, int planned)
{
	const struct place_request *req = p->request;

	if (req->own_region != planned &&
	    (req->region_mask >> req->own_region & 1) &&
	    try_region(p, req->own_region))
		return 1;
	for (int i = 0; i < req->nregion; i++)
		if (i != req->own_region && i != planned &&
		    (req->region_mask >> i & 1) && try_region(p, i))
			return 1;
	return 0;
}

static void sum_region_load(const struct placement *p, int region,
			    struct place_region_load *out)
{
	const struct steer_service *s = p->request->service;
	const struct steer_service_region *sr = &s->region[region];
	int64_t now = p->request->now_ms;

	memset(out, 0, sizeof(*out));
	out->demand_milli = p->request->region_demand_milli[region];
	for (int i = 0; i < sr->nupstream; i++) {
		const struct steer_upstream *u =
			&s->upstream[sr->first_upstream + i];

		if (now < u->cold_until_ms || now < u->limited_until_ms)
			continue;
		out->nupstream += u->slots > 0;
		if (now < stats_of(p, u)->ejected_until_ms) {
			out->ejected_slots += u->slots;
			continue;
		}
		out->slots += u->slots;
		out->inflight_milli += place_inflight(
			stats_of(p, u), own_outstanding(p, u), now);
	}
}

/* The VMs of another region know its load better. */
static void use_told_load(const struct placement *p, int region,
			  struct place_region_load *out)
{
	const struct place_request *req = p->request;
	int64_t age = req->now_ms - req->state->told[region].told_ms;

	if (region != req->own_region && out->slots && age < TOLD_AGE_MAX_MS)
		out->inflight_milli = req->state->told[region].inflight_milli;
}

static void update_shares(const struct placement *p)
{
	const struct place_request *req = p->request;
	struct place_region_load load[STEER_REGIONS_MAX];

	for (int i = 0; i < req->nregion; i++) {
		sum_region_load(p, i, &load[i]);
		use_told_load(p, i, &load[i]);
	}
	place_shares_update(&req->state->shares, load, req->nregion,
			    req->own_region, SHARE_RATE_PPM_PER_S, req->now_ms);
}

int place_plan_region(const struct place_request *req)
{
	struct limit_budget *overflow = &req->state->overflow_budget;
	struct placement p = {.request = req};

	if (req->passed_on)
		return req->region_mask >> req->own_region & 1 ? req->own_region
							       : STEER_NONE;
	update_shares(&p);
	limit_budget_set_burst(overflow, OVERFLOW_BURST_REQUESTS);
	if (!req->is_repeated)
		limit_budget_deposit(overflow, OVERFLOW_PERMILLE);
	return place_shares_next_region(&req->state->shares, req->region_mask,
					req->region_id,
					req->sticky ? req->object_hash : 0);
}

int place_choose_planned(const struct place_request *req, int planned,
			 struct place_decision *out)
{
	/* Not initialized: clearing 32 KB for each request would be costly, and
	 * few elements are used. */
	struct place_estimate estimate[CANDIDATES_MAX];
	struct placement p = {.request = req, .estimate = estimate, .out = out};

	out->wait_ms = PRL_NEVER;
	out->delay_ms = PRL_NEVER;
	if (planned != STEER_NONE && try_region(&p, planned))
		return 1;
	if (req->passed_on)
		return 0;
	if (planned != STEER_NONE &&
	    (req->is_repeated ||
	     !limit_budget_withdraw(&req->state->overflow_budget)))
		return 0;
	return try_other_regions(&p, planned);
}

int place_choose(const struct place_request *req, struct place_decision *out)
{
	return place_choose_planned(req, place_plan_region(req), out);
}

int place_first_home(const struct place_request *req, int region)
{
	const struct steer_service_region *sr = &req->service->region[region];
	const struct placement p = {.request = req};
	uint64_t key = req->sticky ? req->object_hash : req->random;
	uint64_t greatest = 0;
	int best = STEER_NONE;

	for (int i = 0; i < sr->nupstream; i++) {
		const struct steer_upstream *u =
			&req->service->upstream[sr->first_upstream + i];
		uint64_t h = prl_hash_combine(key, u->id);

		if (u->state != STEER_ACTIVE || !is_available(&p, u) ||
		    (best != STEER_NONE && h < greatest))
			continue;
		greatest = h;
		best = sr->first_upstream + i;
	}
	return best;
}

int place_pass_on(const struct place_request *req, int region)
{
	if (req->full_regions >> region & 1 || !region_allowed(req, region))
		return 0;
	place_move_window_count(&req->state->move_window, 1, req->now_ms);
	return 1;
}
