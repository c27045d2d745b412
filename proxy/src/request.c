#include "quota.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <stdlib.h>
#include <string.h>

/* Returns the request's handle, or 0 if the table is full. */
static uint64_t insert_request(struct proxy_thread *t, struct proxy_request *r)
{
	for (int k = 0; k < t->max_requests; k++) {
		int i = (t->next_free + k) % t->max_requests;

		if (t->request[i])
			continue;
		t->next_free = i + 1;
		t->request[i] = r;
		t->nrequest++;
		return (uint64_t)t->generation[i] << 32 | (uint32_t)(i + 1);
	}
	return 0;
}

struct proxy_request *request_find(struct proxy_thread *t, uint64_t handle)
{
	int i = (int)(uint32_t)handle - 1;

	if (i < 0 || i >= t->max_requests || t->generation[i] != handle >> 32)
		return NULL;
	return t->request[i];
}

struct proxy_request *request_new(struct proxy_thread *t,
				  struct MHD_Connection *conn,
				  const char *target)
{
	struct proxy_request *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->thread = t;
	r->conn = conn;
	r->listener = &t->listener;
	r->request_body.budget = &t->body_budget;
	r->response_body.budget = &t->answer_budget;
	r->region = STEER_NONE;
	r->peer_region = STEER_NONE;
	r->link = STEER_NONE;
	r->started_us = prl_now_us();
	r->target = strdup(target);
	r->handle = r->target ? insert_request(t, r) : 0;
	if (!r->handle) {
		free(r->target);
		free(r);
		return NULL;
	}
	if (t->view)
		r->view = config_view_ref(t->view);
	atomic_fetch_add(&t->proxy->open_requests, 1);
	return r;
}

uint64_t request_id_hash(const struct proxy_request *r)
{
	return r->routed ? prl_hash_string(r->request_meta.id)
			 : prl_hash_combine(0, r->handle);
}

void request_use_newest_view(struct proxy_request *r)
{
	if (r->view == r->thread->view)
		return;
	if (r->view)
		config_view_release(r->view);
	r->view = config_view_ref(r->thread->view);
}

void request_resume(struct proxy_request *r)
{
	if (!r->suspended)
		return;
	r->suspended = 0;
	serve_resume(r->listener, r->conn);
}

void request_suspend(struct proxy_request *r)
{
	if (r->suspended || r->thread->is_stopping)
		return;
	r->suspended = 1;
	MHD_suspend_connection(r->conn);
}

static void count_outcome(const struct proxy_request *r)
{
	static const enum metric by_outcome[] = {METRIC_REQUESTS_NOT_RUN,
						 METRIC_REQUESTS_UNKNOWN,
						 METRIC_REQUESTS_RAN};
	struct metrics *m = &r->thread->metrics;

	metrics_add(m, METRIC_REQUESTS, 1);
	metrics_add(m, by_outcome[r->outcome], 1);
	metrics_record_latency(m, METRIC_REQUEST_TIME,
			       prl_now_us() - r->started_us);
}

void request_free(struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;
	uint32_t i = (uint32_t)r->handle - 1;

	request_log(r);
	quota_finish(r);
	unfinished_release(r);
	request_dequeue(r);
	if (r->claimed && r->outcome == OUTCOME_NOT_RUN)
		request_update_claim(r, CLAIM_RELEASED);
	request_release(r);
	if (r->service)
		count_outcome(r);
	header_list_finish(&r->response_headers);
	suspects_release(r);
	if (r->answer)
		g_string_free(r->answer, TRUE);
	identity_finish(&r->identity);
	body_finish(&r->request_body);
	body_finish(&r->response_body);
	free(r->target);
	if (r->mhd_response)
		MHD_destroy_response(r->mhd_response);
	if (r->view)
		config_view_release(r->view);
	t->request[i] = NULL;
	t->generation[i]++;
	t->nrequest--;
	atomic_fetch_sub(&t->proxy->open_requests, 1);
	free(r);
}
