#include "request.h"
#include <primroselead/clock.h>

/* Longest wait for capacity; beyond it the caller is told to come back. */
#define WAIT_MAX_MS 40

/* Wait for the home region before others are tried, in milliseconds. */
#define SPILL_AFTER_MS 20

/* Time between two looks at the waiting requests: places that other threads
 * give back are not announced. */
#define WAIT_TICK_MS 2

static int has_lease(const struct proxy *p)
{
	return prl_now_ms() < atomic_load(&p->lease_until_ms);
}

static int take_capacity(struct proxy_request *r, int region)
{
	const struct steer_service_region *place = &r->service->region[region];
	struct limit_semaphore *hold =
		&r->thread->proxy->semaphore[place->semaphore_index];

	if (!place->nupstream ||
	    !link_ready(r->thread->proxy, link_to_region(r, region)))
		return 0;
	if (limit_semaphore_acquire(hold))
		return 1;
	/* One word to the control thread until it has looked. */
	if (!atomic_exchange(&hold->more_requested, 1))
		mailbox_send(r->thread->proxy->shortage_mailbox,
			     GINT_TO_POINTER(place->semaphore_index + 1));
	return 0;
}

/* Counts the request for the shift's cap once, on its first try. */
static int decide_shifted(struct proxy_request *r)
{
	const struct steer_shift *shift = &r->service->shift;
	struct proxy_service_stats *cell;

	if (shift->from == STEER_NONE || shift->from != r->home_region)
		return 0;
	cell = &r->thread->proxy->service[r->service->stats_index];
	/* Credit of another plan must not pay for this one. */
	if (atomic_exchange(&cell->shift_plan, shift->plan_id) !=
	    shift->plan_id)
		limit_ratio_reset(&cell->shift_limit);
	atomic_fetch_add(&cell->shift_source_total, 1);
	limit_ratio_deposit(&cell->shift_limit, shift->cap_permille);
	if (!steer_is_shifted(shift, r->home_region, r->caller_block))
		return 0;
	return limit_ratio_withdraw(&cell->shift_limit);
}

/* A region that is only full for the moment is waited for; one without any
 * upstream is not. */
static int may_spill(const struct proxy_request *r, int64_t now)
{
	const struct steer_service_region *home =
		&r->service->region[r->home_region];

	return !home->nupstream || (r->wait_until_ms && now >= r->spill_at_ms);
}

static int take_first_available(struct proxy_request *r,
				const struct steer_region_order *route)
{
	int spill = may_spill(r, prl_now_ms());

	for (int i = 0; i < route->n; i++) {
		if (route->reason[i] == STEER_SPILLED && !spill)
			break;
		if (!take_capacity(r, route->region[i]))
			continue;
		r->region = route->region[i];
		r->link = link_to_region(r, r->region);
		r->reason = route->reason[i];
		return 1;
	}
	return 0;
}

static void count_reason(const struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;

	switch (r->reason) {
	case STEER_SHIFTED:
		metrics_add(&t->metrics, METRIC_SHIFTED, 1);
		atomic_fetch_add(&t->proxy->service[r->service->stats_index]
					  .shifted_total,
				 1);
		break;
	case STEER_SPILLED:
		metrics_add(&t->metrics, METRIC_SPILLED, 1);
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
	c->deadline = r->deadline_ms;
	metrics_add(&r->thread->metrics, METRIC_CLAIMS, 1);
	mailbox_send(r->thread->proxy->claim_mailbox, c);
}

static void start_admitted(struct proxy_request *r)
{
	count_reason(r);
	/* A slot comes first: a claimed key whose request then finds none would
	 * have to be made free again before the caller may try elsewhere. */
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
	if (t->wait_timer.deadline == PRL_NEVER)
		t->wait_timer.deadline = now + WAIT_TICK_MS;
}

void request_dequeue(struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;
	struct proxy_request **p = &t->first_waiting;
	struct proxy_request *before = NULL;

	if (r->state != REQUEST_WAITING)
		return;
	while (*p != r) {
		before = *p;
		p = &before->next_waiting;
	}
	*p = r->next_waiting;
	if (t->last_waiting == r)
		t->last_waiting = before;
	t->nwaiting--;
	r->state = REQUEST_NEW;
}

static void shed_request(struct proxy_request *r)
{
	metrics_add(&r->thread->metrics, METRIC_SHED, 1);
	request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE,
		     "no region has free capacity");
}

static int try_admit(struct proxy_request *r)
{
	struct steer_region_order route;

	if (!has_lease(r->thread->proxy))
		return 0;
	steer_order_regions(r->service, r->home_region, r->shifted, &route);
	return take_first_available(r, &route);
}

void request_admit(struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;

	r->shifted = decide_shifted(r);
	/* Those that wait come first. */
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
	t->wait_timer.deadline = t->nwaiting ? now + WAIT_TICK_MS : PRL_NEVER;
}
