/* Placement of routed requests: connects them to the package place. */
#include "placing.h"
#include "news.h"
#include "relay.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <string.h>

/* Part of the platform's constant retry budget that is divided among the known
 * VMs, in percent; the rest is a reserve for VMs that have joined but are not
 * in the view yet. */
#define RETRY_BURST_PERCENT 50

/* Part of the platform's retry ratio that is used, in percent. */
#define RETRY_RATIO_PERCENT 85

/* Maximum idle time of a connection to an upstream that has announced no
 * keep-alive timeout, in s. */
#define IDLE_DEFAULT_S 4

/* Time in ms in which the control thread confirms an isolation. */
#define ISOLATION_CONFIRM_MS 300

/* Least time in ms after which callers are to come back while no VM reaches the
 * service: that of a probe. */
#define RETRY_ISOLATED_MS 500

#define PERCENT 100

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

/* Sets this thread's part of the retry budget's constant, which all threads of
 * all VMs share. */
static void set_retry_budget(struct proxy_request *r)
{
	int64_t burst = r->thread->bounds.retry_extra * RETRY_BURST_PERCENT /
			PERCENT / count_fleet_threads(r);

	limit_budget_set_burst(&routed_service_state(r)->retry_budget,
			       burst > 1 ? burst : 1);
}

static void count_for_retry_budget(struct proxy_request *r)
{
	int64_t ratio = r->thread->bounds.retry_permille;

	set_retry_budget(r);
	/* The VM that relayed the request has counted it. */
	if (!r->attempts && !r->relayed)
		limit_budget_deposit(&routed_service_state(r)->retry_budget,
				     ratio * RETRY_RATIO_PERCENT / PERCENT);
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
		.now_ms = prl_now_ms(),
		.now_us = prl_now_us(),
		.params = &place_default_params,
	};
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
	memcpy(r->instance, u->instance, sizeof(r->instance));
	atomic_fetch_add(
		&r->thread->proxy->upstream[u->stats_index].outstanding, 1);
	if (r->ntried < PLACE_TRIED_MAX)
		r->tried[r->ntried++] = u->id;
}

static void use_newest_view(struct proxy_request *r)
{
	if (r->view == r->thread->view)
		return;
	config_view_release(r->view);
	r->view = config_view_ref(r->thread->view);
}

static void set_retry_after(struct proxy_request *r, int64_t wait_ms)
{
	struct proxy_thread *t = r->thread;

	t->random_state = prl_hash_combine(t->random_state, r->handle);
	r->retry_after_ms = place_retry_after(wait_ms, t->random_state);
}

/* Trying the upstreams would keep the caller waiting in vain; probes find out
 * when they are back. */
static void reject_isolated(struct proxy_request *r)
{
	r->isolated = 1;
	set_retry_after(r, RETRY_ISOLATED_MS);
}

int placing_reserve(struct proxy_request *r)
{
	struct place_decision chosen = {.wait_ms = PRL_NEVER};
	struct place_request request;
	int i;

	use_newest_view(r);
	r->service = NULL;
	r->upstream = NULL;
	r->hop = HOP_UPSTREAM;
	i = steer_find_service(r->view, r->service_name,
			       strlen(r->service_name));
	if (i != STEER_NONE) {
		r->service = r->view->service[i];
		count_for_retry_budget(r);
		if (relay_reserve(r))
			return 1;
		if (relay_is_isolated(r)) {
			reject_isolated(r);
			return 0;
		}
		fill_place_request(r, &request);
		if (place_choose(&request, &chosen)) {
			assign_upstream(r, &chosen);
			return 1;
		}
	}
	unfinished_end_stalled(r->thread, r->service_name);
	set_retry_after(r, chosen.wait_ms);
	return 0;
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
		.duration_us = prl_now_us() - r->attempt_started_us,
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
	int own_outstanding =
		get_outstanding(r->thread->proxy, r->upstream->stats_index);

	if (a->keep_alive_s > 0)
		r->thread->keep_alive_s[r->upstream->stats_index] =
			a->keep_alive_s;
	if (a->slots >= 0)
		place_record_load(routed_upstream_stats(r), a->running,
				  a->waiting, own_outstanding, prl_now_ms());
}

int placing_take_retry(struct proxy_request *r)
{
	return limit_budget_withdraw(&routed_service_state(r)->retry_budget);
}

long placing_idle_max_s(const struct proxy_request *r)
{
	int timeout_s = r->thread->keep_alive_s[r->upstream->stats_index];

	/* One second of margin: if the upstream closes the connection while a
	 * request is being sent, it is unknown whether that ran. */
	return timeout_s > 1 ? timeout_s - 1 : timeout_s ? 1 : IDLE_DEFAULT_S;
}
