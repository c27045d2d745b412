/* How an attempt at an upstream ended, and what follows from it. */
#include "attempt.h"
#include "placing.h"
#include "upstream.h"
#include <primroselead/clock.h>

/* Attempts of one request. */
#define ATTEMPTS_MAX 3

/* A transfer that ends this near to its deadline ran out of time, in ms. */
#define LATE_MS 20

/* Least time left in which another attempt is of use, in milliseconds. */
#define ATTEMPT_MIN_MS 50

/* Connections found stale before an attempt is given up. */
#define STALE_MAX 8

int request_may_retry(struct proxy_request *r, int did_not_run)
{
	int most = r->routed ? r->policy.attempts_max : ATTEMPTS_MAX;
	int64_t least = r->routed ? ATTEMPT_MIN_MS : 0;

	if (r->detached || r->responded || r->attempts >= most)
		return 0;
	if (r->at_most_once && !did_not_run)
		return 0;
	if (prl_now_ms() + least >= r->deadline_ms ||
	    body_rewind(&r->request_body))
		return 0;
	if (r->routed)
		return placing_take_retry(r);
	return limit_ratio_withdraw(&upstream_service_stats(r)->retry_limit);
}

static void retry(struct proxy_request *r)
{
	r->failed_upstream = r->upstream;
	upstream_release(r);
	metrics_add(&r->thread->metrics, METRIC_RETRIES, 1);
	request_start_attempt(r);
}

static void update_outcome(struct proxy_request *r, int did_not_run)
{
	if (!did_not_run)
		r->maybe_ran = 1;
	r->outcome = r->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}

/* The answer breaks off after a part of it was passed on. */
static void abort_response(struct proxy_request *r)
{
	r->response_body_failed = 1;
	r->outcome = OUTCOME_UNKNOWN;
	request_release(r);
	request_resume(r);
}

void request_fail_routed(struct proxy_request *r, const char *cause)
{
	int late = prl_now_ms() + LATE_MS >= r->deadline_ms;

	if (r->outcome == OUTCOME_NOT_RUN)
		request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE, cause);
	else
		request_fail(r,
			     late ? MHD_HTTP_GATEWAY_TIMEOUT
				  : MHD_HTTP_BAD_GATEWAY,
			     cause);
}

static void retry_or_fail(struct proxy_request *r, int did_not_run,
			  const char *cause)
{
	update_outcome(r, did_not_run);
	if (request_may_retry(r, did_not_run)) {
		retry(r);
		return;
	}
	request_release(r);
	request_fail_routed(r, cause);
}

static enum place_result result_of_failure(const struct proxy_request *r,
					   int late)
{
	/* A request that ran out of time says little about its upstream. */
	if (late)
		return PLACE_FAILED;
	return r->maybe_sent ? PLACE_BROKEN : PLACE_UNREACHED;
}

static void attempt_failed_routed(struct proxy_request *r, CURLcode result)
{
	int late = prl_now_ms() + LATE_MS >= r->deadline_ms;

	r->curl_result = result;
	placing_record_result(r, result_of_failure(r, late));
	if (r->state == REQUEST_RESPONDING) {
		abort_response(r);
		return;
	}
	retry_or_fail(r, !r->maybe_sent,
		      late ? "the deadline passed before the upstream's "
			     "answer"
			   : "the connection to the upstream failed");
}

void request_accept_response(struct proxy_request *r)
{
	r->outcome = r->upstream_refused ? OUTCOME_NOT_RUN : OUTCOME_RAN;
	if (r->upstream_refused && r->maybe_ran)
		r->outcome = OUTCOME_UNKNOWN;
	r->state = REQUEST_RESPONDING;
}

static void forward_response(struct proxy_request *r)
{
	request_accept_response(r);
	r->response_body_ended = 1;
	request_release(r);
	request_resume(r);
}

/* Another one answers at its address: it is not there to be reached. */
static enum place_result result_of_refusal(const struct proxy_request *r)
{
	return r->status == MHD_HTTP_MISDIRECTED_REQUEST ? PLACE_UNREACHED
							 : PLACE_REFUSED;
}

static void attempt_completed_routed(struct proxy_request *r)
{
	switch (r->verdict) {
	case VERDICT_PASS:
		placing_record_result(r, PLACE_ANSWERED);
		forward_response(r);
		return;
	case VERDICT_FAILED:
		placing_record_result(r, PLACE_FAILED);
		r->maybe_ran = 1;
		if (r->state != REQUEST_RESPONDING && request_may_retry(r, 0))
			retry(r);
		else
			forward_response(r);
		return;
	case VERDICT_REFUSED:
		placing_record_result(r, result_of_refusal(r));
		retry_or_fail(r, 1, "the upstream refused the request");
		return;
	case VERDICT_AMBIGUOUS:
		placing_record_result(r, PLACE_FAILED);
		retry_or_fail(r, 0, "the upstream failed");
		return;
	case VERDICT_INVALID:
		placing_record_result(r, PLACE_BROKEN);
		retry_or_fail(r, 0, "the upstream's answer is not valid");
		return;
	}
}

static void attempt_failed(struct proxy_request *r, CURLcode result)
{
	int did_not_run = !r->maybe_sent || r->upstream_refused;
	int again;

	upstream_record_result(r, 1);
	if (r->state == REQUEST_RESPONDING) {
		abort_response(r);
		return;
	}
	again = r->retry_pending || request_may_retry(r, did_not_run);
	r->retry_pending = 0;
	update_outcome(r, did_not_run);
	if (again) {
		retry(r);
		return;
	}
	request_release(r);
	if (result == CURLE_OPERATION_TIMEDOUT)
		request_fail(
			r, MHD_HTTP_GATEWAY_TIMEOUT,
			"the deadline passed before the upstream's answer");
	else
		request_fail(r, MHD_HTTP_BAD_GATEWAY,
			     "the connection to the upstream failed");
}

static void attempt_completed(struct proxy_request *r)
{
	upstream_record_result(r, r->status >= MHD_HTTP_INTERNAL_SERVER_ERROR);
	if (r->claimed && r->outcome == OUTCOME_RAN) {
		r->claim.http_status = r->status;
		request_update_claim(r, CLAIM_RAN);
	}
	r->response_body_ended = 1;
	request_release(r);
	request_resume(r);
}

void request_attempt_done(struct fetch *f, CURLcode result)
{
	struct proxy_request *r = f->ctx;

	request_cleanup_transfer(r);
	if (result && r->stale_connections &&
	    r->stale_connections <= STALE_MAX && !r->maybe_sent) {
		/* That connection is closed now; the next may be good. */
		request_start_transfer(r);
		return;
	}
	if (r->routed && (result || !r->status))
		attempt_failed_routed(r, result);
	else if (r->routed)
		attempt_completed_routed(r);
	else if (result || r->state != REQUEST_RESPONDING)
		attempt_failed(r, result);
	else
		attempt_completed(r);
	if (r->detached && !r->transfer_active)
		request_free(r);
}
