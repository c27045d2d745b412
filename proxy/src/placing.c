/* Placement of routed requests: connects them to the package place. */
#include "placing.h"
#include "attempt.h"
#include "loads.h"
#include "news.h"
#include "quota.h"
#include "region_relay.h"
#include "relay.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <string.h>
#include <sys/param.h>

/* Maximum idle time of a connection to an upstream that has announced no
 * keep-alive timeout, in s. */
#define IDLE_DEFAULT_S 4

/* Time in ms in which the control thread confirms an isolation. */
#define ISOLATION_CONFIRM_MS 300

/* Least time in ms after which callers are to come back while no VM reaches the
 * service: that of a probe. */
#define RETRY_ISOLATED_MS 500

#define US_PER_MS 1000

static struct place_upstream_stats *
routed_upstream_stats(const struct proxy_request *r)
{
	return &r->thread->placement_stats[r->upstream->stats_index];
}

static struct place_service_state *
routed_service_state(const struct proxy_request *r)
{
	return &r->thread->placement_state[r->service->stats_index];
}

static int get_outstanding(const void *ctx, int stats_index)
{
	const struct proxy *p = ctx;

	return atomic_load(&p->upstream[stats_index].outstanding);
}

/* Number of traffic threads in the fleet, on the assumption that all VMs have
 * as many as this one. */
static int count_fleet_threads(const struct proxy_request *r)
{
	int vms = r->view->nactive > 0 ? r->view->nactive : 1;

	return vms * r->thread->proxy->nthread;
}

static void count_for_retry_budget(struct proxy_request *r)
{
	struct shared_limit *budget = quota_retry_budget(r);

	/* The VM that relayed the request has counted it. */
	if (r->retry_deposited || r->relayed)
		return;
	r->retry_deposited = 1;
	shared_limit_deposit(budget);
}

/* Upstreams are faster for an object that they handled lately. */
static int is_sticky(const struct proxy_request *r)
{
	return r->policy.sticky && r->request_meta.object_hash;
}

static void fill_place_request(struct proxy_request *r,
			       struct place_request *request)
{
	struct proxy_thread *t = r->thread;

	*request = (struct place_request){
		.service = r->service,
		.nregion = r->view->nregion,
		.region_id = r->view->region_id,
		.own_region = t->proxy->region,
		.region_mask = r->region_mask ? r->region_mask : UINT32_MAX,
		.passed_on = r->passed_on,
		.full_regions = r->full_regions,
		.stats = t->placement_stats,
		.state = routed_service_state(r),
		.outstanding = get_outstanding,
		.ctx = t->proxy,
		.vm_threads = t->proxy->nthread,
		.fleet_threads = count_fleet_threads(r),
		.move_max_permille = t->bounds.move_max_permille,
		.object_hash = r->request_meta.object_hash,
		.sticky = is_sticky(r),
		.random = prl_hash_combine(t->random_state++, r->handle),
		.tried_ids = r->tried,
		.ntried = r->ntried,
		.priority = r->policy.priority,
		.latency_objective_ms = r->policy.latency_objective_ms,
		.deadline_ms = r->deadline_ms,
		.is_repeated = r->is_planned && r->state == REQUEST_WAITING,
		.now_ms = prl_now_ms(),
		.now_us = prl_now_us(),
		.params = &place_default_params,
	};
	for (int i = 0; i < r->view->nregion; i++)
		request->region_demand_milli[i] =
			atomic_load(&t->proxy->service[r->service->stats_index]
					     .region_demand_milli[i]);
}

static void assign_upstream(struct proxy_request *r,
			    const struct place_decision *to)
{
	const struct steer_upstream *u = &r->service->upstream[to->upstream];

	r->upstream = u;
	r->region = to->region;
	r->inflight_milli = to->inflight_milli;
	r->expected_wait_ms = to->wait_ms;
	r->rank = to->rank;
	r->report_age_ms = place_report_age_ms(
		&r->thread->placement_stats[u->stats_index], prl_now_ms());
	memcpy(r->instance, u->instance, sizeof(r->instance));
	atomic_fetch_add(
		&r->thread->proxy->upstream[u->stats_index].outstanding, 1);
	if (r->ntried < PLACE_TRIED_MAX)
		r->tried[r->ntried++] = u->id;
}

static void set_retry_after(struct proxy_request *r, int64_t wait_ms)
{
	struct proxy_thread *t = r->thread;

	t->random_state = prl_hash_combine(t->random_state, r->handle);
	r->retry_after_ms = place_retry_after(
		MAX(wait_ms, order_drain_ms(&t->routed_waiting)),
		t->random_state);
}

/* Trying the upstreams would keep the caller waiting in vain; probes find out
 * when they are back. */
static void reject_isolated(struct proxy_request *r)
{
	r->isolated = 1;
	set_retry_after(r, RETRY_ISOLATED_MS);
}

int placing_find_service(struct proxy_request *r)
{
	int i;

	request_use_newest_view(r);
	i = steer_find_service(r->view, r->service_name,
			       strlen(r->service_name));
	r->service = i == STEER_NONE ? NULL : r->view->service[i];
	return i != STEER_NONE;
}

/* Tells the status page which shares are in use. */
static void publish_shares(const struct proxy_request *r)
{
	const struct place_shares *shares = &routed_service_state(r)->shares;
	struct proxy_service_stats *stats =
		&r->thread->proxy->service[r->service->stats_index];

	for (int i = 0; i < r->view->nregion; i++)
		atomic_store_explicit(&stats->region_share_ppm[i],
				      shares->share_ppm[i],
				      memory_order_relaxed);
}

/* A request that waits keeps its region: each try would count for the shares.
 */
static int plan_region(struct proxy_request *r,
		       const struct place_request *request)
{
	if (!request->is_repeated)
		r->planned_region = place_plan_region(request);
	r->is_planned = 1;
	return r->planned_region;
}

int placing_reserve(struct proxy_request *r)
{
	struct place_decision chosen = {.wait_ms = PRL_NEVER,
					.delay_ms = PRL_NEVER};
	struct place_request request;
	int planned;

	r->upstream = NULL;
	r->hop = HOP_UPSTREAM;
	r->peer_region = STEER_NONE;
	if (placing_find_service(r)) {
		count_for_retry_budget(r);
		if (relay_reserve(r))
			return 1;
		if (relay_is_isolated(r)) {
			reject_isolated(r);
			return 0;
		}
		loads_read_peers(r->thread, r->service);
		fill_place_request(r, &request);
		planned = plan_region(r, &request);
		publish_shares(r);
		if (region_relay_reserve(r, &request, planned))
			return 1;
		if (place_choose_planned(&request, planned, &chosen)) {
			assign_upstream(r, &chosen);
			return 1;
		}
	}
	r->delay_ms = chosen.delay_ms;
	unfinished_end_stalled(r->thread, r->service_name);
	set_retry_after(r, chosen.wait_ms);
	return 0;
}

static int64_t expected_time_ms(const struct proxy_request *r)
{
	int64_t us = place_kind_time_us(routed_service_state(r), is_sticky(r),
					r->thread->proxy->region, prl_now_ms());

	return us / US_PER_MS;
}

void placing_fill_order(const struct proxy_request *r, struct order_entry *out)
{
	*out = (struct order_entry){
		.handle = r->handle,
		.service = r->service->stats_index,
		.priority = r->policy.priority,
		.workspace = r->workspace_id,
		.work_ms = expected_time_ms(r),
		.objective_ms = r->started_us / US_PER_MS +
				r->policy.latency_objective_ms,
		.deadline_ms = r->deadline_ms,
	};
}

/* An attempt at the caller's deadline is no evidence: the upstream may only be
 * slow. */
static int is_unanswered(const struct proxy_request *r,
			 enum place_result result)
{
	return r->head.stage == RESPONSE_NOTHING &&
	       (result == PLACE_UNREACHED || result == PLACE_BROKEN);
}

/* Requests are relayed at once; the control thread confirms the isolation in a
 * new view. */
static void begin_isolation(struct proxy_request *r,
			    struct place_isolation *isolation, int64_t now)
{
	isolation->isolated_until_ms = now + ISOLATION_CONFIRM_MS;
	news_tell_isolated(r);
}

/* Whether a connection broke under a request that has ended upstreams before,
 * which says nothing of the links. */
static int is_expected(const struct proxy_request *r, enum place_result result)
{
	return r->suspicion.is_alone && result == PLACE_BROKEN;
}

static void record_contact(struct proxy_request *r, enum place_result result)
{
	struct place_isolation *isolation = &routed_service_state(r)->isolation;
	int64_t now = prl_now_ms();

	if (r->head.stage != RESPONSE_NOTHING)
		place_isolation_answered(isolation, now);
	else if (!is_expected(r, result) && is_unanswered(r, result) &&
		 place_isolation_unanswered(isolation, r->upstream->id,
					    r->service->nupstream, now) &&
		 !relay_is_isolated(r))
		begin_isolation(r, isolation, now);
}

static const char *const result_names[] = {"answered", "failed", "refused",
					   "broken", "unreached"};

void placing_record_result(struct proxy_request *r, enum place_result result)
{
	struct place_attempt end = {
		.result = result,
		.region = r->region,
		.sticky = is_sticky(r),
		.duration_us = request_attempt_time_us(r),
		.queued = r->expected_wait_ms > 0,
		.reported_load = r->response_meta.slots >= 0,
	};

	if (result == PLACE_ANSWERED)
		metrics_record_latency(&r->thread->metrics,
				       METRIC_UPSTREAM_TIME, end.duration_us);
	else
		request_log_attempt(r, result_names[result]);
	record_contact(r, result);
	place_record_attempt(routed_upstream_stats(r), routed_service_state(r),
			     &end, prl_now_ms());
}

void placing_record_load(struct proxy_request *r)
{
	const struct fleet_response_meta *a = &r->response_meta;

	if (a->keep_alive_s > 0)
		r->thread->keep_alive_s[r->upstream->stats_index] =
			a->keep_alive_s;
	if (a->slots >= 0)
		loads_record_own(
			r->thread, r->upstream->stats_index,
			&(struct proxy_load){
				.running = a->running,
				.waiting = a->waiting,
				.slowness_percent = a->slowness_percent,
				.told_ms = prl_now_ms(),
			});
}

int placing_take_retry(struct proxy_request *r)
{
	struct place_service_state *s = routed_service_state(r);
	struct order_entry e;

	placing_fill_order(r, &e);
	if (!order_may_retry(&s->retries, &e, prl_now_ms()))
		return 0;
	if (quota_take(r, quota_retry_budget(r)))
		return 1;
	order_retry_denied(&s->retries, &e, prl_now_ms());
	return 0;
}

long placing_idle_max_s(const struct proxy_request *r)
{
	int timeout_s = r->thread->keep_alive_s[r->upstream->stats_index];

	/* One second of margin: if the upstream closes the connection while a
	 * request is being sent, it is unknown whether that ran. */
	return timeout_s > 1 ? timeout_s - 1 : timeout_s ? 1 : IDLE_DEFAULT_S;
}
