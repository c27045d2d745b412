/* Start and release of attempts at upstreams. */
#include "attempt.h"
#include "easy_pool.h"
#include "placing.h"
#include "service.h"
#include "upstream.h"
#include "waiting.h"
#include <primroselead/clock.h>
#include <primroselead/stop.h>
#include <primroselead/stop_signal.h>

void request_cleanup_transfer(struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;

	header_list_finish(&r->request_headers);
	r->transfer_active = 0;
	easy_pool_put(&t->easy_pool, r->fetch.easy);
	/* The handle may soon be another request's. */
	r->fetch.easy = NULL;
	r->upload_paused = 0;
	r->download_paused = 0;
}

void request_release(struct proxy_request *r)
{
	const struct steer_service_region *region;

	if (r->transfer_active) {
		fetch_cancel(&r->thread->fetch_pool, &r->fetch);
		request_cleanup_transfer(r);
	}
	upstream_release(r);
	if (r->routed)
		waiting_wake(r->thread);
	if (r->region == STEER_NONE || r->routed)
		return;
	region = &r->service->region[r->region];
	limit_semaphore_release(
		&r->thread->proxy->semaphore[region->semaphore_index]);
	r->region = STEER_NONE;
	/* Admit queued requests of this thread in the same loop iteration. */
	if (r->thread->nwaiting)
		r->thread->wait_timer.deadline_ms = prl_now_ms();
}

/* Releases what the request holds and fails it with 503; a routed one as
 * request_fail_routed does. */
static void release_and_fail(struct proxy_request *r, const char *cause)
{
	upstream_release(r);
	request_release(r);
	if (r->routed)
		request_fail_routed(r, cause);
	else
		request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE, cause);
}

int request_reserve_upstream(struct proxy_request *r)
{
	if (r->upstream ||
	    (r->routed ? placing_reserve(r) : upstream_reserve(r)))
		return 1;
	if (waiting_enqueue(r))
		return 0;
	metrics_add(&r->thread->metrics, METRIC_REQUESTS_SHED, 1);
	r->refusal = r->isolated ? PEER_REFUSAL_VM : PEER_REFUSAL_REGION;
	release_and_fail(r, r->isolated
				    ? "no upstream of the service is in reach"
				    : "no upstream takes new work");
	return 0;
}

void request_start_transfer(struct proxy_request *r)
{
	r->fetch.easy = easy_pool_get(&r->thread->easy_pool);
	if (!r->fetch.easy) {
		release_and_fail(r, "out of memory");
		return;
	}
	r->fetch.done = request_attempt_done;
	r->fetch.ctx = r;
	r->new_fd = -1;
	r->found_unfit = 0;
	r->attempt_started_us = prl_now_us();
	request_setup_transfer(r);
	r->transfer_active = 1;
	if (fetch_start(&r->thread->fetch_pool, &r->fetch, NULL)) {
		request_cleanup_transfer(r);
		release_and_fail(r, "the HTTP client failed");
	}
}

void request_await_caller(struct proxy_request *r)
{
	if (!r->caller_awaited_since_us)
		r->caller_awaited_since_us = prl_now_us();
}

void request_caller_came(struct proxy_request *r)
{
	if (!r->caller_awaited_since_us)
		return;
	r->caller_awaited_us += prl_now_us() - r->caller_awaited_since_us;
	r->caller_awaited_since_us = 0;
}

int64_t request_attempt_time_us(const struct proxy_request *r)
{
	int64_t now = prl_now_us();
	int64_t awaited = r->caller_awaited_us;

	if (r->caller_awaited_since_us)
		awaited += now - r->caller_awaited_since_us;
	return now - r->attempt_started_us - awaited;
}

/* When this process has to end. After a pause a request may be read before the
 * stop signal that was sent meanwhile. */
static int64_t process_end_ms(const struct proxy *p)
{
	int64_t end_ms = atomic_load(&p->end_ms);

	if (end_ms == PRL_NEVER && stop_signal_is_pending())
		end_ms = atomic_load(&p->end_if_signalled_ms);
	return end_ms;
}

/* Relaying does not help: the answer has to pass through this VM. */
int request_outlasts_vm(const struct proxy_request *r)
{
	return r->routed && r->outcome == OUTCOME_NOT_RUN &&
	       !limit_stop_admits(process_end_ms(r->thread->proxy),
				  r->deadline_ms);
}

void request_start_attempt(struct proxy_request *r)
{
	if (request_outlasts_vm(r)) {
		request_refuse_stop(r, "this VM ends before the deadline");
		return;
	}
	if (!waiting_must_queue(r) && request_reserve_upstream(r))
		request_begin_attempt(r);
}

void request_begin_attempt(struct proxy_request *r)
{
	r->state = REQUEST_ATTEMPTING;
	r->maybe_sent = 0;
	r->unfit_connections = 0;
	r->upstream_refused = 0;
	r->naming = NAMING_NONE;
	r->status = 0;
	r->verdict = VERDICT_NONE;
	r->unreached = 0;
	r->head_bytes = 0;
	response_head_init(&r->head);
	r->connection_uses = 0;
	r->received_bytes = 0;
	r->discard_ended = 0;
	r->peer_outcome = PEER_UNKNOWN;
	r->peer_out_of_reach = 0;
	r->peer_attempts = -1;
	r->peer_refusal = PEER_REFUSAL_FINAL;
	body_finish(&r->response_body);
	r->upload_paused = 0;
	r->download_paused = 0;
	r->link_paused = 0;
	r->caller_awaited_since_us = 0;
	r->caller_awaited_us = 0;
	r->attempts++;
	if (!r->routed)
		service_name_attempt(r);
	metrics_add(&r->thread->metrics, METRIC_UPSTREAM_ATTEMPTS, 1);
	request_start_transfer(r);
}
