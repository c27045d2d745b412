/* Attempts at upstreams: begins and ends them. */
#include "attempt.h"
#include "placing.h"
#include "upstream.h"
#include <primroselead/clock.h>

void request_end_fetch(struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;

	curl_slist_free_all(r->headers);
	r->headers = NULL;
	r->fetching = 0;
	if (t->nidle_easy <
	    (int)(sizeof(t->idle_easy) / sizeof(t->idle_easy[0])))
		t->idle_easy[t->nidle_easy++] = r->fetch.easy;
	else
		curl_easy_cleanup(r->fetch.easy);
}

void request_release(struct proxy_request *r)
{
	const struct steer_service_region *place;

	if (r->fetching) {
		fetch_cancel(&r->thread->fetch_pool, &r->fetch);
		request_end_fetch(r);
	}
	upstream_give(r);
	if (r->region == STEER_NONE || r->routed)
		return;
	place = &r->service->region[r->region];
	limit_semaphore_release(
		&r->thread->proxy->semaphore[place->semaphore_index]);
	r->region = STEER_NONE;
	/* Whoever waits in this thread has the place in the same round. */
	if (r->thread->nwaiting)
		r->thread->wait_timer.deadline = prl_now_ms();
}
static CURL *get_easy(struct proxy_thread *t)
{
	if (!t->nidle_easy)
		return curl_easy_init();
	curl_easy_reset(t->idle_easy[--t->nidle_easy]);
	return t->idle_easy[t->nidle_easy];
}

static void give_up(struct proxy_request *r, const char *cause)
{
	upstream_give(r);
	request_release(r);
	if (r->routed)
		request_give_up_routed(r, cause);
	else
		request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE, cause);
}

int request_reserve(struct proxy_request *r)
{
	if (r->upstream || (r->routed ? placing_take(r) : upstream_take(r)))
		return 1;
	metrics_add(&r->thread->metrics, METRIC_SHED, 1);
	give_up(r, "no upstream takes new work");
	return 0;
}

void request_start_transfer(struct proxy_request *r)
{
	r->fetch.easy = get_easy(r->thread);
	if (!r->fetch.easy) {
		give_up(r, "out of memory");
		return;
	}
	r->fetch.done = request_attempt_done;
	r->fetch.ctx = r;
	r->opened_fd = -1;
	r->sent_us = prl_now_us();
	request_set_transfer(r);
	r->fetching = 1;
	if (fetch_start(&r->thread->fetch_pool, &r->fetch, NULL)) {
		request_end_fetch(r);
		give_up(r, "the HTTP client failed");
	}
}

void request_send(struct proxy_request *r)
{
	if (!request_reserve(r))
		return;
	r->state = REQUEST_SENT;
	r->issued = 0;
	r->stale = 0;
	r->refused = 0;
	r->status = 0;
	r->verdict = VERDICT_PASS;
	body_finish(&r->down);
	r->up_paused = 0;
	r->down_paused = 0;
	r->link_paused = 0;
	r->attempts++;
	metrics_add(&r->thread->metrics, METRIC_ATTEMPTS, 1);
	request_start_transfer(r);
}
