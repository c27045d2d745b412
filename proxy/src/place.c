#include "place.h"
#include <primroselead/backoff.h>
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <string.h>

/* Upstreams of one service and region that are weighed. */
#define CANDIDATES_MAX 1024

/* A report of an upstream's load counts whole up to an age, and then the less
 * the older it is, in ms. One VM hears from an upstream about once a second. */
#define REPORT_FRESH_MS 1000
#define REPORT_AGE_MAX_MS 3000

/* Age at which failures and latencies of an upstream are forgotten, in ms. */
#define MEMORY_MS 4000

/* Time for which an unreachable upstream is left alone after the first
 * failure, in ms; it doubles with each further one. */
#define CLOSED_MIN_MS 200
#define CLOSED_MAX_MS 3200

/* Time for which one that refused without a report is taken as full, in ms. */
#define FULL_MS 100

/* Time of a request while none is known, in us. */
#define HOLD_UNKNOWN_US 200000

/* Part of a new sample in a smoothed value: one in this many. */
#define SMOOTHING 8

/* Greatest change of a region's share, in millionths a second. */
#define SHARE_PACE 40000

/* Requests placed outside of the shares, in permille of all, and how many may
 * come at once. */
#define OVERFLOW_PERMILLE 40
#define OVERFLOW_MOST 2

/* Wait in a queue that is of use, in percent of the objective; the most urgent
 * requests of a service may wait for longer. */
#define WAIT_PERCENT 45
#define WAIT_URGENT_PERCENT 90

/* Part of the platform's constant retry budget that the VMs divide, in
 * percent; the rest is for VMs that joined unseen. */
#define BUDGET_PERCENT 50

/* Part of the platform's retry ratio that is used, in percent. */
#define RATIO_PERCENT 85

/* Shortest and longest time told to a caller that is refused, in ms. */
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 1000

/* Idle time of a connection to an upstream that named none, in s. */
#define IDLE_UNKNOWN_S 4

#define THOUSAND 1000
#define PERCENT 100

/* All that one placement needs. */
struct placement {
	struct proxy_request *r;
	struct proxy_thread *t;
	struct proxy_service_state *state;
	int64_t now;
	int64_t now_us;
	/** Room for the candidates of one region. */
	struct steer_estimate *estimate;
	struct steer_placed placed;
	int64_t shortest_wait;
};

static struct proxy_estimate *estimate_of(const struct proxy_request *r)
{
	return &r->thread->estimate[r->upstream->cell];
}

static struct proxy_service_state *state_of(const struct proxy_request *r)
{
	return &r->thread->state[r->service->cell];
}

static int outstanding(const struct proxy_thread *t, int cell)
{
	return atomic_load(&t->proxy->upstream[cell].outstanding);
}

/* Own requests, and those of others by the last report, less the older it
 * is. */
static int64_t inflight(const struct placement *p,
			const struct steer_upstream *u)
{
	const struct proxy_estimate *b = &p->t->estimate[u->cell];
	int64_t age = p->now - b->others_ms;
	int64_t own = (int64_t)outstanding(p->t, u->cell) * THOUSAND;

	if (age >= REPORT_AGE_MAX_MS)
		return own;
	return own + b->others * (REPORT_AGE_MAX_MS - age) / REPORT_AGE_MAX_MS;
}

static int64_t region_hold(const struct proxy_service_state *s, int region)
{
	return s->hold_us[region] ? s->hold_us[region] : HOLD_UNKNOWN_US;
}

/* VMs and threads that divide what is for all of them together. */
static int dividers(const struct proxy_request *r)
{
	int vms = r->view->nactive > 0 ? r->view->nactive : 1;

	return vms * r->thread->proxy->nthread;
}

/* Whether this VM may open one more connection. A thread keeps as many as it
 * had requests there at one time, and does not lend them to others. */
static int may_connect(const struct placement *p,
		       const struct steer_upstream *u)
{
	int share = u->connections / dividers(p->r);

	if (!u->connections)
		return 1;
	return outstanding(p->t, u->cell) < (share > 1 ? share : 1);
}

static int is_open(const struct placement *p, const struct steer_upstream *u)
{
	const struct proxy_estimate *b = &p->t->estimate[u->cell];

	if (p->now < b->closed_until || p->now < u->rest_until ||
	    !may_connect(p, u))
		return 0;
	if (p->now >= u->cold_until)
		return 1;
	return u->cold_rate > 0 && limit_rate_open(&b->cold, p->now_us);
}

static void read_estimate(const struct placement *p,
			  const struct steer_upstream *u,
			  struct steer_estimate *out)
{
	const struct proxy_estimate *b = &p->t->estimate[u->cell];

	out->open = is_open(p, u);
	out->inflight = inflight(p, u);
	out->slowness = THOUSAND;
	if (b->latency_us && p->now - b->sampled_ms < MEMORY_MS)
		out->slowness = b->latency_us * THOUSAND /
				region_hold(p->state, u->region);
	out->failures = p->now - b->failed_ms < MEMORY_MS ? b->failures : 0;
}

static void region_load(const struct placement *p, int region,
			struct steer_region_load *out)
{
	const struct steer_service *s = p->r->service;
	const struct steer_place *place = &s->place[region];

	memset(out, 0, sizeof(*out));
	for (int i = 0; i < place->nupstream; i++) {
		const struct steer_upstream *u =
			&s->upstream[place->first_upstream + i];

		if (p->now < p->t->estimate[u->cell].closed_until ||
		    p->now < u->cold_until)
			continue;
		out->slots += u->slots;
		out->inflight += inflight(p, u);
	}
}

static void update_shares(const struct placement *p)
{
	struct steer_region_load load[STEER_REGIONS_MAX];
	int nregion = p->r->view->nregion;

	for (int i = 0; i < nregion; i++)
		region_load(p, i, &load[i]);
	steer_shares_update(&p->state->shares, load, nregion,
			    p->t->proxy->region, SHARE_PACE, p->now);
}

static int64_t wait_max(const struct proxy_request *r, int64_t hold_ms,
			int64_t now)
{
	int64_t percent =
		r->policy.priority <= 1 ? WAIT_URGENT_PERCENT : WAIT_PERCENT;
	int64_t wait = r->policy.objective_ms * percent / PERCENT;
	int64_t left = r->deadline - now - hold_ms;

	return wait < left ? wait : left;
}

/* Where every upstream is left alone, they are tried all the same: what made
 * them unreachable may lie on this side. */
static void read_estimates(struct placement *p, const struct steer_placing *ask)
{
	int closed = 0;

	for (int i = 0; i < ask->n; i++) {
		int cell = ask->upstream[i].cell;

		read_estimate(p, &ask->upstream[i], &p->estimate[i]);
		closed += p->now < p->t->estimate[cell].closed_until;
	}
	for (int i = 0; closed == ask->n && i < ask->n; i++)
		p->estimate[i].open = p->now >= ask->upstream[i].cold_until &&
				      may_connect(p, &ask->upstream[i]);
}

static int try_region(struct placement *p, int region)
{
	struct proxy_request *r = p->r;
	const struct steer_place *place = &r->service->place[region];
	int64_t hold_ms = region_hold(p->state, region) / THOUSAND;
	struct steer_placing ask = {
		.upstream = r->service->upstream + place->first_upstream,
		.estimate = p->estimate,
		.n = place->nupstream,
		.object = r->asked.object,
		.sticky = r->policy.sticky && r->asked.object,
		.tried = r->tried,
		.ntried = r->ntried,
		.hold_ms = hold_ms,
		.wait_max_ms = wait_max(r, hold_ms, p->now),
	};

	if (!ask.n)
		return 0;
	if (ask.n > CANDIDATES_MAX)
		ask.n = CANDIDATES_MAX;
	if (!ask.sticky)
		ask.object = prl_hash_pair(p->t->random++, r->handle);
	read_estimates(p, &ask);
	steer_place_request(&ask, &p->placed);
	if (p->placed.upstream == STEER_NONE) {
		if (p->placed.wait_ms < p->shortest_wait)
			p->shortest_wait = p->placed.wait_ms;
		return 0;
	}
	r->region = region;
	r->upstream = &ask.upstream[p->placed.upstream];
	return 1;
}

/* The other regions, the own one first. */
static int try_others(struct placement *p, int planned, uint32_t mask)
{
	int own = p->t->proxy->region;

	if (own != planned && (mask >> own & 1) && try_region(p, own))
		return 1;
	for (int i = 0; i < p->r->view->nregion; i++)
		if (i != own && i != planned && (mask >> i & 1) &&
		    try_region(p, i))
			return 1;
	return 0;
}

/* The constant part of the budget is for all VMs and threads together. */
static void set_budget(struct proxy_request *r)
{
	int64_t most = r->thread->bounds.retry_extra * BUDGET_PERCENT /
		       PERCENT / dividers(r);

	limit_budget_set(&state_of(r)->retry, most > 1 ? most : 1);
}

static void count_request(struct placement *p)
{
	int64_t ratio = p->t->bounds.retry_permille;

	set_budget(p->r);
	if (!p->r->attempts)
		limit_budget_count(&p->state->retry,
				   ratio * RATIO_PERCENT / PERCENT);
}

static int choose(struct placement *p)
{
	uint32_t mask = p->r->homes ? p->r->homes : UINT32_MAX;
	uint64_t object = p->r->policy.sticky ? p->r->asked.object : 0;
	int planned;

	count_request(p);
	update_shares(p);
	planned = steer_shares_next(&p->state->shares, mask, object);
	limit_budget_set(&p->state->overflow, OVERFLOW_MOST);
	limit_budget_count(&p->state->overflow, OVERFLOW_PERMILLE);
	if (planned != STEER_NONE && try_region(p, planned))
		return 1;
	if (planned != STEER_NONE && !limit_budget_take(&p->state->overflow))
		return 0;
	return try_others(p, planned, mask);
}

static void take(struct placement *p)
{
	struct proxy_request *r = p->r;
	const struct steer_upstream *u = r->upstream;
	struct proxy_estimate *b = &p->t->estimate[u->cell];

	atomic_fetch_add(&p->t->proxy->upstream[u->cell].outstanding, 1);
	if (p->now < u->cold_until)
		limit_rate_count(&b->cold, u->cold_rate, p->now_us);
	memcpy(r->instance, u->instance, sizeof(r->instance));
	r->inflight = inflight(p, u);
	r->wait_ms = p->placed.wait_ms;
	r->rank = p->placed.rank;
	if (r->ntried < STEER_TRIED_MAX)
		r->tried[r->ntried++] = u->id;
}

static void use_newest_view(struct proxy_request *r)
{
	if (r->view == r->thread->view)
		return;
	config_view_release(r->view);
	r->view = config_view_ref(r->thread->view);
}

/* A refused caller comes back when the queue has shrunk, not all at once. */
static void set_retry_after(struct placement *p, int found)
{
	int64_t ms = found ? p->shortest_wait : RETRY_MAX_MS / 2;

	if (ms < RETRY_MIN_MS)
		ms = RETRY_MIN_MS;
	if (ms > RETRY_MAX_MS / 2)
		ms = RETRY_MAX_MS / 2;
	p->t->random = prl_hash_pair(p->t->random, p->r->handle);
	p->r->retry_after_ms = ms + (int64_t)(p->t->random % (uint64_t)ms);
}

int place_take(struct proxy_request *r)
{
	/* Not cleared: 32 KB for each request, of which few are used. */
	struct steer_estimate estimate[CANDIDATES_MAX];
	struct placement p = {
		.r = r,
		.t = r->thread,
		.estimate = estimate,
		.now = prl_now_ms(),
		.now_us = prl_now_us(),
		.shortest_wait = INT64_MAX,
	};
	int i;

	use_newest_view(r);
	r->service = NULL;
	r->upstream = NULL;
	i = steer_find_service(r->view, r->service_name,
			       strlen(r->service_name));
	if (i != STEER_NONE) {
		r->service = r->view->service[i];
		p.state = state_of(r);
		if (choose(&p)) {
			take(&p);
			return 1;
		}
	}
	set_retry_after(&p, p.shortest_wait != INT64_MAX);
	return 0;
}

static int64_t smooth(int64_t old, int64_t sample)
{
	return old ? old + (sample - old) / SMOOTHING : sample;
}

static void learn_time(struct proxy_request *r)
{
	struct proxy_estimate *b = estimate_of(r);
	struct proxy_service_state *s = state_of(r);
	int64_t now = prl_now_ms();
	int64_t us = prl_now_us() - r->sent_us;

	metrics_latency(&r->thread->metrics, METRIC_UPSTREAM_TIME, us);
	if (now - b->sampled_ms >= MEMORY_MS)
		b->latency_us = 0;
	b->latency_us = smooth(b->latency_us, us);
	b->sampled_ms = now;
	/* A request that waited there says nothing of its own time. */
	if (!r->wait_ms)
		s->hold_us[r->region] = smooth(s->hold_us[r->region], us);
}

static void learn_failure(struct proxy_estimate *b, int failed, int64_t now)
{
	if (now - b->failed_ms >= MEMORY_MS)
		b->failures = 0;
	b->failures += ((failed ? THOUSAND : 0) - b->failures) / SMOOTHING;
	if (failed)
		b->failed_ms = now;
}

static void leave_alone(struct proxy_estimate *b, int64_t now)
{
	b->closed_until =
		now + prl_backoff(CLOSED_MIN_MS, CLOSED_MAX_MS, b->unreachable);
	b->unreachable++;
}

static const char *const result_names[] = {"answered", "failed", "refused",
					   "broken"};

void place_learn(struct proxy_request *r, enum place_result result)
{
	struct proxy_estimate *b = estimate_of(r);
	int64_t now = prl_now_ms();

	if (result != PLACE_ANSWERED)
		request_log_attempt(r, result_names[result]);
	switch (result) {
	case PLACE_ANSWERED:
		b->unreachable = 0;
		learn_failure(b, 0, now);
		learn_time(r);
		break;
	case PLACE_FAILED:
		b->unreachable = 0;
		learn_failure(b, 1, now);
		break;
	case PLACE_REFUSED:
		b->unreachable = 0;
		learn_failure(b, 1, now);
		if (r->answer.slots < 0)
			b->closed_until = now + FULL_MS;
		break;
	case PLACE_BROKEN:
		learn_failure(b, 1, now);
		/* One that takes connections may break few answers only. */
		if (!r->issued)
			leave_alone(b, now);
		break;
	}
}

void place_heard(struct proxy_request *r)
{
	struct proxy_estimate *b = estimate_of(r);
	int own = outstanding(r->thread, r->upstream->cell);
	int others = r->answer.running + r->answer.waiting - own;

	if (r->answer.keep_alive_s > 0)
		b->keep_alive_s = r->answer.keep_alive_s;
	if (r->answer.slots < 0)
		return;
	/* The report may still count the request that it answers. */
	b->others = others > 0 ? (int64_t)others * THOUSAND : 0;
	b->others_ms = prl_now_ms();
}

int place_may_repeat(struct proxy_request *r)
{
	return limit_budget_take(&state_of(r)->retry);
}

long place_idle_max_s(const struct proxy_request *r)
{
	int said = estimate_of(r)->keep_alive_s;

	/* One that closes just as a request comes leaves it unsettled. */
	return said > 1 ? said - 1 : said ? 1 : IDLE_UNKNOWN_S;
}
