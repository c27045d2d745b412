#include "suspects.h"
#include "attempt.h"
#include <primroselead/clock.h>
#include <stdio.h>
#include <string.h>

/* Retry-After of a request in quarantine, in ms, and of one that equals a
 * request under way. */
#define RETRY_QUARANTINED_MS 600000
#define RETRY_BUSY_MS 1000

struct quarantine *proxy_lock_quarantine(struct proxy *p)
{
	apr_thread_mutex_lock(p->quarantine_lock);
	return p->quarantine;
}

void proxy_unlock_quarantine(struct proxy *p)
{
	atomic_store(&p->nsuspect, p->quarantine->nsuspect);
	apr_thread_mutex_unlock(p->quarantine_lock);
}

static int has_suspects(const struct proxy_request *r)
{
	return atomic_load(&r->thread->proxy->nsuspect) > 0;
}

static void reject(struct proxy_request *r, int64_t retry_after_ms,
		   const char *cause)
{
	metrics_add(&r->thread->metrics, METRIC_REQUESTS_QUARANTINED, 1);
	r->retry_after_ms = retry_after_ms;
	request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE, cause);
}

static enum quarantine_verdict enter(struct proxy_request *r)
{
	struct prl_hash128 digest = identity_digest(r);
	struct quarantine *q = proxy_lock_quarantine(r->thread->proxy);
	enum quarantine_verdict verdict =
		quarantine_enter(q, &digest, prl_now_ms());

	proxy_unlock_quarantine(r->thread->proxy);
	return verdict;
}

static void start_or_reject(struct proxy_request *r)
{
	enum quarantine_verdict verdict =
		has_suspects(r) ? enter(r) : QUARANTINE_PASS;

	switch (verdict) {
	case QUARANTINE_ALONE:
		r->suspicion.is_alone = 1;
		request_start_attempt(r);
		return;
	case QUARANTINE_PASS:
	case QUARANTINE_WATCH:
		request_start_attempt(r);
		return;
	case QUARANTINE_BUSY:
		reject(r, RETRY_BUSY_MS,
		       "upstreams have ended under this request, and an equal "
		       "one is under way");
		return;
	case QUARANTINE_REJECT:
		reject(r, RETRY_QUARANTINED_MS,
		       "this request is in quarantine: upstreams have ended "
		       "under it");
		return;
	}
}

static int must_await_body(const struct proxy_request *r)
{
	struct quarantine *q;
	int found;

	if (!has_suspects(r) || identity_is_known(r))
		return 0;
	q = proxy_lock_quarantine(r->thread->proxy);
	found = quarantine_has_head(q, r->identity.head.low);
	proxy_unlock_quarantine(r->thread->proxy);
	return found;
}

void suspects_dispatch(struct proxy_request *r)
{
	r->suspicion.awaits_body = must_await_body(r);
	if (r->suspicion.awaits_body)
		return;
	if (identity_is_known(r))
		start_or_reject(r);
	else
		request_start_attempt(r);
}

static void send_news(struct proxy_request *r)
{
	struct proxy_news *news = r->suspicion.unsent;

	r->suspicion.unsent = NULL;
	news->u.broken.digest = identity_digest(r);
	mailbox_send(r->thread->proxy->news_mailbox, news);
}

void suspects_body_came(struct proxy_request *r)
{
	if (!identity_is_known(r))
		return;
	if (r->suspicion.unsent)
		send_news(r);
	if (!r->suspicion.awaits_body)
		return;
	r->suspicion.awaits_body = 0;
	start_or_reject(r);
}

/* Whether the upstream may have ended. An attempt that timed out tells nothing,
 * and after one of these other results this VM has closed the connection. */
static int may_have_ended(const struct proxy_request *r, CURLcode result)
{
	if (!r->maybe_sent || r->hop != HOP_UPSTREAM || request_timed_out(r))
		return 0;
	switch (result) {
	case CURLE_WRITE_ERROR:
	case CURLE_OPERATION_TIMEDOUT:
	case CURLE_OUT_OF_MEMORY:
		return 0;
	default:
		return 1;
	}
}

static void fill_about(const struct proxy_request *r, char *out, size_t size)
{
	const char *host =
		r->conn ? request_header(r, MHD_HTTP_HEADER_HOST) : NULL;

	snprintf(out, size, "%s %s%.*s", r->method, host ? host : "",
		 (int)strcspn(r->target, "?"), r->target);
}

void suspects_note_failure(struct proxy_request *r, CURLcode result)
{
	struct proxy_news *news;

	if (!may_have_ended(r, result) || r->suspicion.unsent)
		return;
	news = g_new0(struct proxy_news, 1);
	news->type = PROXY_NEWS_BROKEN;
	news->upstream_id = r->upstream->id;
	memcpy(news->instance, r->instance, sizeof(news->instance));
	memcpy(news->u.broken.service, r->service_name,
	       sizeof(news->u.broken.service));
	memcpy(news->u.broken.address, r->upstream->address,
	       sizeof(news->u.broken.address));
	news->u.broken.head = r->identity.head.low;
	fill_about(r, news->u.broken.about, sizeof(news->u.broken.about));
	r->suspicion.unsent = news;
	if (identity_is_known(r))
		send_news(r);
}

void suspects_note_answer(struct proxy_request *r)
{
	struct prl_hash128 digest;
	struct quarantine *q;

	if (!identity_is_known(r))
		return;
	digest = identity_digest(r);
	quarantine_answers_note(&r->thread->proxy->answers, &digest,
				prl_now_ms());
	if (!has_suspects(r))
		return;
	q = proxy_lock_quarantine(r->thread->proxy);
	quarantine_clear(q, &digest, prl_now_ms());
	proxy_unlock_quarantine(r->thread->proxy);
}

int suspects_may_retry(struct proxy_request *r)
{
	struct prl_hash128 digest;
	struct quarantine *q;
	int may_retry;

	if (!r->maybe_sent || !r->upstream || !has_suspects(r) ||
	    !identity_is_known(r))
		return 1;
	digest = identity_digest(r);
	q = proxy_lock_quarantine(r->thread->proxy);
	may_retry = quarantine_may_retry(q, &digest, r->upstream->id);
	proxy_unlock_quarantine(r->thread->proxy);
	return may_retry;
}

void suspects_release(struct proxy_request *r)
{
	struct prl_hash128 digest;

	if (r->suspicion.unsent && identity_is_known(r))
		send_news(r);
	g_free(r->suspicion.unsent);
	r->suspicion.unsent = NULL;
	if (!r->suspicion.is_alone)
		return;
	r->suspicion.is_alone = 0;
	digest = identity_digest(r);
	quarantine_leave(proxy_lock_quarantine(r->thread->proxy), &digest);
	proxy_unlock_quarantine(r->thread->proxy);
}
