/* End of an attempt: response, retry or failure of the request. */
#include "attempt.h"
#include "placing.h"
#include "relay.h"
#include "sockets.h"
#include "upstream.h"
#include <primroselead/clock.h>

/* Maximum attempts of a request that is not routed. */
#define ATTEMPTS_MAX 3

/* A transfer that fails at most this long before the deadline is taken to have
 * timed out, in ms. */
#define DEADLINE_MARGIN_MS 20

/* Minimum remaining time for a retry of a routed request, in milliseconds. */
#define RETRY_MIN_MS 50

/* Maximum connections that may not be used which one attempt replaces. */
#define UNFIT_CONNECTIONS_MAX 8

int request_may_retry(struct proxy_request *r, int did_not_run)
{
	int limit = r->routed ? r->policy.attempts_max : ATTEMPTS_MAX;
	int64_t min_ms = r->routed ? RETRY_MIN_MS : 0;

	if (r->detached || r->responded || r->attempts >= limit)
		return 0;
	if (r->at_most_once && !did_not_run)
		return 0;
	if (prl_now_ms() + min_ms >= r->deadline_ms ||
	    body_rewind(&r->request_body))
		return 0;
	if (r->routed)
		return (did_not_run || suspects_may_retry(r)) &&
		       placing_take_retry(r);
	return limit_ratio_withdraw(&upstream_service_stats(r)->retry_limit);
}

int request_timed_out(const struct proxy_request *r)
{
	return prl_now_ms() + DEADLINE_MARGIN_MS >= r->deadline_ms;
}

void request_retry(struct proxy_request *r)
{
	r->failed_upstream = r->upstream;
	upstream_release(r);
	metrics_add(&r->thread->metrics, METRIC_UPSTREAM_RETRIES, 1);
	request_start_attempt(r);
}

void request_update_outcome(struct proxy_request *r, int did_not_run)
{
	if (!did_not_run)
		r->maybe_ran = 1;
	r->outcome = r->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}

/* The response broke off after a part of it was passed on. */
void request_abort_response(struct proxy_request *r)
{
	r->response_body_failed = 1;
	r->outcome = OUTCOME_UNKNOWN;
	request_release(r);
	request_resume(r);
}

void request_fail_routed(struct proxy_request *r, const char *cause)
{
	int timed_out = request_timed_out(r);

	if (r->outcome == OUTCOME_NOT_RUN)
		request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE, cause);
	else
		request_fail(r,
			     timed_out ? MHD_HTTP_GATEWAY_TIMEOUT
				       : MHD_HTTP_BAD_GATEWAY,
			     cause);
}

/* Retries the request if that is allowed, else fails it with "cause". */
static void retry_or_fail(struct proxy_request *r, int did_not_run,
			  const char *cause)
{
	request_update_outcome(r, did_not_run);
	if (did_not_run && relay_may_follow(r) &&
	    !body_rewind(&r->request_body)) {
		request_retry(r);
		return;
	}
	if (request_may_retry(r, did_not_run)) {
		request_retry(r);
		return;
	}
	request_release(r);
	request_fail_routed(r, cause);
}

static enum place_result result_of_failure(const struct proxy_request *r,
					   int timed_out)
{
	/* A timeout at the caller's deadline is weak evidence against the
	 * upstream. */
	if (timed_out)
		return PLACE_FAILED;
	return r->maybe_sent ? PLACE_BROKEN : PLACE_UNREACHED;
}

static void attempt_failed_routed(struct proxy_request *r, CURLcode result)
{
	int timed_out = request_timed_out(r);

	r->curl_result = result;
	r->unreached = !r->maybe_sent;
	placing_record_result(r, result_of_failure(r, timed_out));
	suspects_note_failure(r, result);
	if (r->state == REQUEST_RESPONDING) {
		request_abort_response(r);
		return;
	}
	retry_or_fail(r, !r->maybe_sent,
		      timed_out ? "the deadline passed before the upstream's "
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

void request_forward_response(struct proxy_request *r)
{
	request_accept_response(r);
	r->response_body_ended = 1;
	request_release(r);
	request_resume(r);
}

/* Status 421 means that another instance has the upstream's address, so the
 * upstream itself is unreachable. */
static enum place_result result_of_refusal(const struct proxy_request *r)
{
	return r->status == MHD_HTTP_MISDIRECTED_REQUEST ? PLACE_UNREACHED
							 : PLACE_REFUSED;
}

static void attempt_completed_routed(struct proxy_request *r)
{
	switch (r->verdict) {
	case VERDICT_NONE:
		attempt_failed_routed(r, CURLE_PARTIAL_FILE);
		return;
	case VERDICT_PASS:
		placing_record_result(r, PLACE_ANSWERED);
		suspects_note_answer(r);
		request_forward_response(r);
		return;
	case VERDICT_FAILED:
		placing_record_result(r, PLACE_FAILED);
		suspects_note_answer(r);
		request_update_outcome(r, 0);
		if (r->state != REQUEST_RESPONDING && request_may_retry(r, 0))
			request_retry(r);
		else
			request_forward_response(r);
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

/* A refusal counts once its head is complete. */
static int is_refused(const struct proxy_request *r)
{
	return r->upstream_refused && r->head.stage == RESPONSE_IN_BODY;
}

static void attempt_failed(struct proxy_request *r, CURLcode result)
{
	int did_not_run = !r->maybe_sent || is_refused(r);
	int may_retry;

	upstream_record_result(r, 1);
	if (r->state == REQUEST_RESPONDING) {
		request_abort_response(r);
		return;
	}
	may_retry = r->retry_pending || request_may_retry(r, did_not_run);
	r->retry_pending = 0;
	request_update_outcome(r, did_not_run);
	if (may_retry) {
		request_retry(r);
		return;
	}
	request_release(r);
	if (result == CURLE_OPERATION_TIMEDOUT)
		request_fail(
			r, MHD_HTTP_GATEWAY_TIMEOUT,
			"the deadline passed before the upstream's answer");
	else
		request_fail(r, MHD_HTTP_BAD_GATEWAY,
			     r->verdict == VERDICT_INVALID
				     ? "the upstream's answer is not valid"
				     : "the connection to the upstream failed");
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

/* Whether a body that the end of the connection ends may be a part: the
 * upstream had not taken the whole request, so that its end of the connection
 * may have been followed by a reset. */
static int may_be_part(const struct proxy_request *r)
{
	curl_off_t sent = 0;

	if (!r->has_body || r->head.framing != RESPONSE_UNTIL_CLOSE ||
	    r->head.status >= MHD_HTTP_MULTIPLE_CHOICES ||
	    r->head.status == MHD_HTTP_NO_CONTENT)
		return 0;
	curl_easy_getinfo(r->fetch.easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	return !r->request_body_ended || body_readable(&r->request_body) ||
	       sent < r->request_length ||
	       sockets_was_unacked(r->thread->sockets, r->endpoint_hash);
}

/* The request may be sent again, and the connection carry a copy of the answer
 * then. */
static void note_answer(const struct proxy_request *r, CURLcode result)
{
	int is_last = r->routed ? r->verdict == VERDICT_PASS
				: r->state == REQUEST_RESPONDING;

	if (!result && r->maybe_sent && !is_last)
		sockets_note_answer(r->thread->sockets, r->endpoint_hash,
				    request_id_hash(r), r->deadline_ms,
				    prl_now_ms());
}

void request_attempt_done(struct fetch *f, CURLcode result)
{
	struct proxy_request *r = f->ctx;

	if (!result && may_be_part(r))
		result = CURLE_PARTIAL_FILE;
	request_cleanup_transfer(r);
	if (result && r->found_unfit && !r->maybe_sent &&
	    r->unfit_connections <= UNFIT_CONNECTIONS_MAX) {
		/* libcurl has closed the connection; a new transfer uses
		 * another one. Nothing was sent, so the attempt goes on. */
		request_start_transfer(r);
		return;
	}
	if (r->discard_ended)
		result = CURLE_OK;
	result = response_head_result(&r->head, result);
	note_answer(r, result);
	if (r->hop == HOP_PEER)
		relay_done(r, result);
	else if (r->routed && result)
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
