#include "news.h"
#include <primroselead/clock.h>
#include <string.h>

/* Interval in ms at which the control thread is told of a rate limit that
 * stays. */
#define LIMIT_REPEAT_MS 1000

/* Successful responses in a row without a rate limit that end it. */
#define LIMIT_END_RESPONSES 2

#define US_PER_MS 1000

static struct proxy_news *new_news(const struct proxy_request *r,
				   enum proxy_news_type type)
{
	struct proxy_news *news = g_new0(struct proxy_news, 1);

	news->type = type;
	news->upstream_id = r->upstream->id;
	memcpy(news->instance, r->instance, sizeof(news->instance));
	return news;
}

static void send_news(const struct proxy_request *r, struct proxy_news *news)
{
	mailbox_send(r->thread->proxy->news_mailbox, news);
}

/* Whether the response ends a limit that this thread or another VM knows of.
 * Only successful responses count, and several in a row, since others may be
 * made without the upstream's usual headers. */
static int ends_limit(const struct proxy_request *r,
		      struct proxy_named_limit *known, int64_t now)
{
	if (r->verdict != VERDICT_PASS ||
	    (!known->is_limited && now >= r->upstream->limited_until_ms))
		return 0;
	return ++known->responses_without >= LIMIT_END_RESPONSES;
}

static int is_limit_due(const struct proxy_named_limit *known, int64_t milli,
			int64_t now)
{
	return !known->is_limited || milli != known->limit_milli ||
	       now - known->sent_ms >= LIMIT_REPEAT_MS;
}

static void read_limit(struct proxy_request *r, int64_t now)
{
	struct proxy_named_limit *known =
		&r->thread->named_limit[r->upstream->stats_index];
	int64_t milli = r->response_meta.rate_limit_milli;
	struct proxy_news *news;

	if (milli >= 0)
		known->responses_without = 0;
	if (milli < 0 ? !ends_limit(r, known, now)
		      : !is_limit_due(known, milli, now))
		return;
	known->is_limited = milli >= 0;
	known->limit_milli = milli;
	known->sent_ms = now;
	news = new_news(r, PROXY_NEWS_LIMIT);
	news->u.limit.limit_milli = milli;
	news->u.limit.sent_ms = r->attempt_started_us / US_PER_MS;
	send_news(r, news);
}

static void read_closed(struct proxy_request *r, int64_t now)
{
	struct proxy_news *news = new_news(r, PROXY_NEWS_CLOSED);

	news->u.closed_until_ms = now + r->response_meta.retry_after_ms;
	send_news(r, news);
}

void news_read_response(struct proxy_request *r)
{
	const struct fleet_response_meta *meta = &r->response_meta;
	int64_t now = prl_now_ms();

	read_limit(r, now);
	if (meta->leaving)
		send_news(r, new_news(r, PROXY_NEWS_LEAVING));
	if (r->status == MHD_HTTP_SERVICE_UNAVAILABLE &&
	    meta->retry_after_ms > 0)
		read_closed(r, now);
}

void news_tell_isolated(const struct proxy_request *r)
{
	const struct place_isolation *isolation =
		&r->thread->placement_state[r->service->stats_index].isolation;
	struct proxy_news *news = new_news(r, PROXY_NEWS_ISOLATED);

	memcpy(news->u.isolated.service, r->service_name,
	       sizeof(news->u.isolated.service));
	news->u.isolated.answered_ms = isolation->answered_ms;
	send_news(r, news);
}
