#include "request.h"
#include <primroselead/clock.h>

static void reject_duplicate(struct proxy_request *r,
			     const struct claim_record *existing)
{
	metrics_add(&r->thread->metrics, METRIC_CLAIMS_TAKEN, 1);
	r->claim.http_status = existing->http_status;
	r->outcome =
		existing->status == CLAIM_RAN ? OUTCOME_RAN : OUTCOME_UNKNOWN;
	request_release(r);
	request_fail(r, MHD_HTTP_CONFLICT,
		     "a request with this Idempotency-Key came before");
}

static void reject_unclaimed(struct proxy_request *r, enum prl_code code)
{
	metrics_add(&r->thread->metrics, METRIC_CLAIMS_REFUSED, 1);
	request_release(r);
	request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE,
		     code == PRL_E_FULL
			     ? "the claim shard of this key is full"
			     : "the claim of this key could not be kept");
}

static void start_claimed(struct proxy_request *r)
{
	r->claimed = 1;
	if (prl_now_ms() >= r->deadline_ms) {
		request_release(r);
		request_fail(r, MHD_HTTP_GATEWAY_TIMEOUT,
			     "the deadline passed before the claim was kept");
		return;
	}
	/* The lease may have expired since the request was admitted, if the
	 * process was paused. */
	if (prl_now_ms() >= atomic_load(&r->thread->proxy->lease_until_ms)) {
		request_release(r);
		request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE,
			     "this VM may no longer use its capacity");
		return;
	}
	request_start_attempt(r);
}

void request_claim_settled(struct proxy_request *r,
			   const struct claim_answer *a)
{
	metrics_record_latency(&r->thread->metrics, METRIC_CLAIM_TIME,
			       prl_now_us() - r->started_us);
	switch (a->verdict) {
	case CLAIM_GRANTED:
		start_claimed(r);
		return;
	case CLAIM_TAKEN:
		reject_duplicate(r, &a->record);
		return;
	case CLAIM_REFUSED:
		break;
	}
	reject_unclaimed(r, a->code);
}

void request_update_claim(struct proxy_request *r, enum claim_status status)
{
	struct proxy_claim *c = g_new0(struct proxy_claim, 1);

	c->thread = r->thread;
	c->record = r->claim;
	c->record.status = status;
	c->deadline_ms = PRL_NEVER;
	mailbox_send(r->thread->proxy->claim_mailbox, c);
}
