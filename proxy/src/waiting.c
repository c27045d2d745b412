#include "waiting.h"
#include "attempt.h"
#include "placing.h"
#include <primroselead/clock.h>

/* Interval at which the queue is tried, in ms: the estimated load of upstreams
 * falls with time. */
#define TICK_MS 10

/* Requests without an upstream after which a pass ends. */
#define TRIES_MAX 16

static void count(struct proxy_thread *t, enum metric which)
{
	metrics_add(&t->metrics, which, 1);
}

static void leave_queue(struct proxy_request *r)
{
	int64_t us = prl_now_us() - r->queued_at_us;

	r->state = REQUEST_NEW;
	r->queued_us += us;
	metrics_record_latency(&r->thread->metrics, METRIC_QUEUE_TIME, us);
}

void waiting_remove(struct proxy_request *r)
{
	if (order_remove(&r->thread->routed_waiting, r->handle))
		leave_queue(r);
}

static void turn_away(struct proxy_request *r, enum metric reason)
{
	count(r->thread, reason);
	count(r->thread, METRIC_REQUESTS_SHED);
	request_release(r);
	request_fail_routed(r, "no upstream takes new work in useful time");
}

/* A request of another VM is refused instead: that VM may place it sooner. */
static int may_wait(const struct proxy_request *r)
{
	return r->routed && r->service && !r->relayed && !r->isolated &&
	       !r->detached && !r->responded &&
	       !atomic_load(&r->thread->proxy->terminating);
}

static int enqueue(struct proxy_request *r, const struct order_entry *e)
{
	struct proxy_thread *t = r->thread;
	struct order_entry replaced;
	struct proxy_request *other;

	switch (order_add(&t->routed_waiting, e, prl_now_ms(), &replaced)) {
	case ORDER_REFUSED:
		return 0;
	case ORDER_REPLACED:
		other = request_find(t, replaced.handle);
		leave_queue(other);
		turn_away(other, METRIC_QUEUE_REPLACED);
		break;
	case ORDER_ADDED:
		break;
	}
	r->state = REQUEST_WAITING;
	r->queued_at_us = prl_now_us();
	count(t, METRIC_REQUESTS_QUEUED);
	return 1;
}

int waiting_enqueue(struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;
	int64_t now = prl_now_ms();
	struct order_entry e;

	if (!may_wait(r))
		return 0;
	placing_fill_order(r, &e);
	if (!order_is_useful(&e, r->delay_ms, now) || !enqueue(r, &e))
		return 0;
	if (t->routed_wait_timer.deadline_ms == PRL_NEVER)
		t->routed_wait_timer.deadline_ms = now + TICK_MS;
	return 1;
}

int waiting_must_queue(struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;
	struct order_entry e;

	if (!r->routed || !t->routed_waiting.n || !placing_find_service(r) ||
	    !may_wait(r))
		return 0;
	placing_fill_order(r, &e);
	if (!order_is_preceded(&t->routed_waiting, &e, prl_now_ms()) ||
	    !enqueue(r, &e))
		return 0;
	waiting_wake(t);
	return 1;
}

void waiting_wake(struct proxy_thread *t)
{
	if (t->routed_waiting.n)
		t->routed_wait_timer.deadline_ms = prl_now_ms();
}

static void start(struct proxy_request *r, int64_t now)
{
	order_start(&r->thread->routed_waiting, r->handle, now);
	leave_queue(r);
	count(r->thread, METRIC_QUEUE_STARTED);
	request_begin_attempt(r);
}

/* Starts the request if it can be placed, or refuses it if this VM ends or it
 * is known that it can't be placed in time. Returns 0 if it goes on waiting. */
static int try(struct proxy_request *r, int64_t until_ms, int64_t now)
{
	if (request_outlasts_vm(r) ||
	    atomic_load(&r->thread->proxy->terminating)) {
		waiting_remove(r);
		request_refuse_stop(r, "this VM ends before the deadline");
		return 1;
	}
	if (placing_reserve(r)) {
		start(r, now);
		return 1;
	}
	if (r->delay_ms != PRL_NEVER && now + r->delay_ms < until_ms)
		return 0;
	waiting_remove(r);
	turn_away(r, METRIC_QUEUE_ENDED);
	return 1;
}

static void count_waiting(struct proxy_thread *t, int64_t now)
{
	const struct order_queue *q = &t->routed_waiting;
	uint64_t timely = 0;

	for (int i = 0; i < q->n; i++)
		timely += order_class(&q->entry[i], now) < ORDER_PRIORITIES;
	metrics_set(&t->metrics, METRIC_QUEUE_TIMELY, timely);
	metrics_set(&t->metrics, METRIC_QUEUE_LATE, (uint64_t)q->n - timely);
}

void waiting_run(struct loop_timer *timer, int64_t now)
{
	struct proxy_thread *t = timer->ctx;
	struct order_queue *q = &t->routed_waiting;
	const struct order_entry *e;
	int failures = 0;

	order_begin(q);
	while (failures < TRIES_MAX && (e = order_next(q, now)))
		failures += !try(request_find(t, e->handle), e->until_ms, now);
	while ((e = order_overdue(q, now))) {
		struct proxy_request *r = request_find(t, e->handle);

		waiting_remove(r);
		turn_away(r, METRIC_QUEUE_ENDED);
	}
	count_waiting(t, now);
	timer->deadline_ms = q->n ? now + TICK_MS : PRL_NEVER;
}
