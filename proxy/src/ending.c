/* Requests of a VM that was told to stop. */
#include "attempt.h"
#include "upload.h"
#include "upstream.h"

/* Retry-After from a VM that is about to end, in ms; short because other VMs
 * have free capacity. */
#define RETRY_STOPPING_MS 10

void request_refuse_stop(struct proxy_request *r, const char *cause)
{
	r->retry_after_ms = RETRY_STOPPING_MS;
	request_log_refused_stop(r);
	metrics_add(&r->thread->metrics, METRIC_REQUESTS_SHED, 1);
	r->refusal = PEER_REFUSAL_VM;
	request_release(r);
	request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE, cause);
}

void request_end(struct proxy_request *r)
{
	if (r->detached || r->responded)
		return;
	switch (r->state) {
	case REQUEST_NEW:
		if (!unfinished_is_held(r))
			return;
		unfinished_release(r);
		break;
	case REQUEST_RESPONDING:
	case REQUEST_FAILED:
		upload_answer_now(r);
		return;
	case REQUEST_WAITING:
	case REQUEST_CLAIMING:
	case REQUEST_ATTEMPTING:
		break;
	}
	r->retry_after_ms = RETRY_STOPPING_MS;
	request_dequeue(r);
	request_release(r);
	request_fail_routed(r, "this VM ended before the answer");
	upload_answer_now(r);
}
