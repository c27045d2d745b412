#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>

/* Greatest limit that is accepted from another VM, in thousandths of a request
 * per second. */
#define LIMIT_MAX_MILLI 1000000000

#define HTTP_UNAVAILABLE 503

/* What is sent until all VMs have acted on news is too much, so the next tick
 * is due at once. */
static void act_on_news(struct control *c)
{
	c->view_outdated = 1;
	c->tick_timer.deadline_ms = prl_now_ms();
}

static int note_limit(struct control *c,
		      const struct inventory_upstream_key *key,
		      int64_t limit_milli, int64_t sent_ms, const char *from)
{
	char milli[LOG_NUMBER_MAX];

	if (!inventory_report_limit(&c->objects.inventory, key, limit_milli,
				    sent_ms, prl_now_ms()))
		return 0;
	log_format_number(milli, limit_milli);
	log_event(LOG_LEVEL_AUDIT, "limit", "instance", key->instance, "state",
		  limit_milli < 0 ? "off" : "on", "limit_milli", milli, "from",
		  from, NULL);
	act_on_news(c);
	return 1;
}

static int note_leaving(struct control *c,
			const struct inventory_upstream_key *key,
			const char *from)
{
	if (!inventory_report_leaving(&c->objects.inventory, key))
		return 0;
	log_event(LOG_LEVEL_AUDIT, "upstream", "instance", key->instance,
		  "state", "says it leaves", "from", from, NULL);
	act_on_news(c);
	return 1;
}

static void note_closed(struct control *c,
			const struct inventory_upstream_key *key,
			int64_t until_ms)
{
	char left[LOG_NUMBER_MAX];

	if (!inventory_report_closed(&c->objects.inventory, key, until_ms))
		return;
	log_format_number(left, until_ms - prl_now_ms());
	log_event(LOG_LEVEL_AUDIT, "closed", "instance", key->instance,
		  "left_ms", left, NULL);
	act_on_news(c);
}

static void tell_peers(struct control *c)
{
	struct news *n = &c->news;
	struct wire_args args = {.proc = WIRE_NEWS};

	args.u.news.news.news_val = n->pending;
	args.u.news.news.news_len = (u_int)n->npending;
	peers_broadcast(c, &args);
	n->npending = 0;
}

/* Returns the pending news of one type of an upstream, new or to be replaced.
 */
static struct wire_news *pending_entry(struct control *c, uint64_t upstream,
				       enum wire_news_type type)
{
	struct news *n = &c->news;

	for (int i = 0; i < n->npending; i++)
		if (n->pending[i].upstream == upstream &&
		    n->pending[i].body.type == type)
			return &n->pending[i];
	if (n->npending == WIRE_NEWS_MAX)
		tell_peers(c);
	n->pending[n->npending].instance = n->instance[n->npending];
	return &n->pending[n->npending++];
}

static void add_pending(struct control *c,
			const struct inventory_upstream_key *key,
			const struct wire_news_body *body)
{
	struct wire_news *out = pending_entry(c, key->upstream_id, body->type);

	g_strlcpy(out->instance, key->instance, WIRE_NAME + 1);
	out->upstream = key->upstream_id;
	out->body = *body;
}

/* A limit that stays is told again each time that a traffic thread repeats it:
 * messages may be lost, and VMs may have started since. */
static void handle_limit(struct control *c,
			 const struct inventory_upstream_key *key,
			 int64_t limit_milli, int64_t sent_ms)
{
	struct wire_news_body body = {.type = WIRE_NEWS_LIMIT};

	body.wire_news_body_u.limit_milli = limit_milli;
	if (note_limit(c, key, limit_milli, sent_ms, "upstream") ||
	    limit_milli >= 0)
		add_pending(c, key, &body);
}

static void handle_leaving(struct control *c,
			   const struct inventory_upstream_key *key)
{
	struct wire_news_body body = {.type = WIRE_NEWS_LEAVING};

	if (note_leaving(c, key, "upstream"))
		add_pending(c, key, &body);
}

void news_handle_check(struct control *c, const struct news_check *check)
{
	const struct fleet_response_meta *meta = check->meta;

	/* A check does not end a limit: only requests are known to tell. */
	if (meta->rate_limit_milli >= 0)
		handle_limit(c, &check->key, meta->rate_limit_milli,
			     check->sent_ms);
	if (meta->leaving)
		handle_leaving(c, &check->key);
	if (check->status == HTTP_UNAVAILABLE && meta->retry_after_ms > 0)
		note_closed(c, &check->key,
			    prl_now_ms() + meta->retry_after_ms);
}

void news_handle_local(void *ctx, void *item)
{
	struct control *c = ctx;
	struct proxy_news *news = item;
	struct inventory_upstream_key key = {news->instance, news->upstream_id};

	switch (news->type) {
	case PROXY_NEWS_LIMIT:
		handle_limit(c, &key, news->u.limit.limit_milli,
			     news->u.limit.sent_ms);
		break;
	case PROXY_NEWS_LEAVING:
		handle_leaving(c, &key);
		break;
	case PROXY_NEWS_CLOSED:
		note_closed(c, &key, news->u.closed_until_ms);
		break;
	case PROXY_NEWS_ISOLATED:
		reach_handle_isolated(c, news);
		break;
	case PROXY_NEWS_BROKEN:
		crashes_handle_broken(c, news);
		break;
	}
	g_free(news);
}

void news_handle_remote(struct control *c, const struct wire_request *r,
			const struct wire_news_list *list)
{
	struct wire_result empty = {.proc = WIRE_NEWS};

	for (u_int i = 0; i < list->news.news_len; i++) {
		const struct wire_news *from = &list->news.news_val[i];
		struct inventory_upstream_key key = {from->instance,
						     from->upstream};
		int64_t milli;

		switch (from->body.type) {
		case WIRE_NEWS_LIMIT:
			milli = from->body.wire_news_body_u.limit_milli;
			note_limit(c, &key, CLAMP(milli, -1, LIMIT_MAX_MILLI),
				   PRL_NEVER, "peer");
			break;
		case WIRE_NEWS_LEAVING:
			note_leaving(c, &key, "peer");
			break;
		}
	}
	wire_reply(&c->wire, r, &empty, NULL);
}

void news_tick(struct control *c)
{
	if (c->news.npending)
		tell_peers(c);
}
