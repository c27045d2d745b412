#include "request.h"
#include "waiting.h"
#include <primroselead/clock.h>

/* Maximum wait for capacity, in milliseconds; then the request is shed. */
#define WAIT_MAX_MS 40

/* Wait for capacity of the home region before spilling to others, in
 * milliseconds. */
#define SPILL_AFTER_MS 20

/* Interval at which admission of queued requests is retried, in milliseconds;
 * capacity that other threads release is not signalled. */
#define WAIT_TICK_MS 2

static int has_lease(const struct proxy *p)
{
	return prl_now_ms() < atomic_load(&p->lease_until_ms);
}

/* Acquires capacity of a region. Returns 1; or 0 if the region has none free or
 * no upstream, or the link to it has no bandwidth now. */
static int take_capacity(struct proxy_request *r, int region)
{
	const struct steer_service_region *target = &r->service->region[region];
	struct limit_semaphore *semaphore =
		&r->thread->proxy->semaphore[target->semaphore_index];

	if (!target->nupstream ||
	    !link_admits(r->thread->proxy, link_to_region(r, region)))
		return 0;
	if (limit_semaphore_acquire(semaphore))
		return 1;
	/* Report the shortage once until the control thread has handled it. */
	if (!atomic_exchange(&semaphore->more_requested, 1))
		mailbox_send(r->thread->proxy->shortage_mailbox,
			     GINT_TO_POINTER(target->semaphore_index + 1));
	return 0;
}

/* Decides whether a shift moves the request, and counts it for the shift's cap;
 * called once a request. */
static int decide_shifted(struct proxy_request *r)
{
	const struct steer_shift *shift = &r->service->shift;
	struct proxy_service_stats *stats;

	if (shift->from == STEER_NONE || shift->from != r->home_region)
		return 0;
	stats = &r->thread->proxy->service[r->service->stats_index];
	/* Credit that was earned under another plan is void. */
	if (atomic_exchange(&stats->shift_plan_id, shift->plan_id) !=
	    shift->plan_id)
		limit_ratio_reset(&stats->shift_limit);
	atomic_fetch_add(&stats->shift_source_total, 1);
	limit_ratio_deposit(&stats->shift_limit, shift->cap_permille);
	if (!steer_is_shifted(shift, r->home_region, r->caller_block))
		return 0;
	return limit_ratio_withdraw(&stats->shift_limit);
}

/* A request spills at once if its home region has no upstream; if the region is
 * only full, after a wait in the queue. */
static int may_spill(const struct proxy_request *r, int64_t now)
{
	const struct steer_service_region *home =
		&r->service->region[r->home_region];

	return !home->nupstream || (r->wait_until_ms && now >= r->spill_at_ms);
}

static int take_first_available(struct proxy_request *r,
				const struct steer_region_order *order)
{
	int spill = may_spill(r, prl_now_ms());

	for (int i = 0; i < order->n; i++) {
		if (order->reason[i] == STEER_SPILLED && !spill)
			break;
		if (!take_capacity(r, order->region[i]))
			continue;
		r->region = order->region[i];
		r->link = link_to_region(r, r->region);
		r->reason = order->reason[i];
		return 1;
	}
	return 0;
}

static void count_reason(const struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;

	switch (r->reason) {
	case STEER_SHIFTED:
		metrics_add(&t->metrics, METRIC_REQUESTS_SHIFTED, 1);
		atomic_fetch_add(&t->proxy->service[r->service->stats_index]
					  .shifted_total,
				 1);
		break;
	case STEER_SPILLED:
		metrics_add(&t->metrics, METRIC_REQUESTS_SPILLED, 1);
		break;
	case STEER_LOCAL:
		break;
	}
}

static void submit_claim(struct proxy_request *r)
{
	struct proxy_claim *c = g_new0(struct proxy_claim, 1);

	r->state = REQUEST_CLAIMING;
	c->thread = r->thread;
	c->handle = r->handle;
	c->record = r->claim;
	c->deadline_ms = r->deadline_ms;
	metrics_add(&r->thread->metrics, METRIC_CLAIMS, 1);
	mailbox_send(r->thread->proxy->claim_mailbox, c);
}

static void start_admitted(struct proxy_request *r)
{
	count_reason(r);
	/* The slot is reserved before the key is claimed: without a slot, the
	 * claim would have to be released before the caller could retry. */
	if (!request_reserve_upstream(r))
		return;
	if (r->at_most_once && !r->claimed)
		submit_claim(r);
	else
		request_start_attempt(r);
}

static void enqueue(struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;
	int64_t now = prl_now_ms();

	r->state = REQUEST_WAITING;
	r->wait_until_ms = now + WAIT_MAX_MS;
	if (r->deadline_ms < r->wait_until_ms)
		r->wait_until_ms = r->deadline_ms;
	r->spill_at_ms = now + SPILL_AFTER_MS;
	r->next_waiting = NULL;
	if (t->last_waiting)
		t->last_waiting->next_waiting = r;
	else
		t->first_waiting = r;
	t->last_waiting = r;
	t->nwaiting++;
	if (t->wait_timer.deadline_ms == PRL_NEVER)
		t->wait_timer.deadline_ms = now + WAIT_TICK_MS;
}

void request_dequeue(struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;
	struct proxy_request **p = &t->first_waiting;
	struct proxy_request *prev = NULL;

	if (r->state != REQUEST_WAITING)
		return;
	if (r->routed) {
		waiting_remove(r);
		return;
	}
	while (*p != r) {
		prev = *p;
		p = &prev->next_waiting;
	}
	*p = r->next_waiting;
	if (t->last_waiting == r)
		t->last_waiting = prev;
	t->nwaiting--;
	r->state = REQUEST_NEW;
}

static void shed_request(struct proxy_request *r)
{
	metrics_add(&r->thread->metrics, METRIC_REQUESTS_SHED, 1);
	request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE,
		     "no region has free capacity");
}

static int try_admit(struct proxy_request *r)
{
	struct steer_region_order order;

	if (!has_lease(r->thread->proxy))
		return 0;
	steer_order_regions(r->service, r->home_region, r->shifted, &order);
	return take_first_available(r, &order);
}

void request_admit(struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;

	r->shifted = decide_shifted(r);
	/* Queued requests go first. */
	if (!t->nwaiting && try_admit(r)) {
		start_admitted(r);
		return;
	}
	if (t->nwaiting >= PROXY_WAITING_MAX || !has_lease(r->thread->proxy)) {
		shed_request(r);
		return;
	}
	enqueue(r);
}

void request_admit_waiting(struct proxy_thread *t)
{
	int64_t now = prl_now_ms();
	struct proxy_request *r = t->first_waiting;
	struct proxy_request *next;

	for (; r; r = next) {
		next = r->next_waiting;
		if (now >= r->wait_until_ms) {
			request_dequeue(r);
			shed_request(r);
			continue;
		}
		if (!try_admit(r))
			continue;
		request_dequeue(r);
		start_admitted(r);
	}
	t->wait_timer.deadline_ms =
		t->nwaiting ? now + WAIT_TICK_MS : PRL_NEVER;
}
