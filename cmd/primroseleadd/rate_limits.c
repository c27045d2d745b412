#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <string.h>

/* Timeout and retransmission interval of a message to another VM, in ms. */
#define TELL_TIMEOUT_MS 400
#define TELL_RETRANSMIT_MS 100

/* Greatest limit that is accepted from another VM, in thousandths of a request
 * per second. */
#define LIMIT_MAX_MILLI 1000000000

static void log_limit(const char *instance, int64_t limit_milli,
		      const char *from)
{
	char milli[LOG_NUMBER_MAX];

	log_format_number(milli, limit_milli);
	log_event(LOG_LEVEL_AUDIT, "limit", "instance", instance, "state",
		  limit_milli < 0 ? "off" : "on", "limit_milli", milli, "from",
		  from, NULL);
}

/* Notes a limit. Returns 1 if it changed what this VM knows, else 0. */
static int note_limit(struct control *c, const struct inventory_limit *limit,
		      const char *from)
{
	if (!inventory_report_limit(&c->registry.inventory, limit,
				    prl_now_ms()))
		return 0;
	log_limit(limit->instance, limit->limit_milli, from);
	c->view_outdated = 1;
	/* What is sent until all VMs know of a limit exceeds it. */
	c->tick_timer.deadline_ms = prl_now_ms();
	return 1;
}

static void tell_peers(struct control *c)
{
	struct rate_limits *limits = &c->rate_limits;
	struct wire_args args = {.proc = WIRE_LIMIT};
	struct wire_call_options o = {
		.deadline_ms = prl_now_ms() + TELL_TIMEOUT_MS,
		.retransmit_ms = TELL_RETRANSMIT_MS,
	};

	args.u.limits.limit.limit_val = limits->pending;
	args.u.limits.limit.limit_len = (u_int)limits->npending;
	for (int i = 1; i < c->members.npeer; i++)
		if (member_is_usable(&c->members.peer[i]))
			wire_call(&c->wire, c->members.peer[i].vm.rpc, &args,
				  &o, NULL);
	limits->npending = 0;
}

static struct wire_limit *pending_entry(struct control *c, uint64_t upstream)
{
	struct rate_limits *limits = &c->rate_limits;

	for (int i = 0; i < limits->npending; i++)
		if (limits->pending[i].upstream == upstream)
			return &limits->pending[i];
	if (limits->npending == WIRE_LIMITS_MAX)
		tell_peers(c);
	limits->pending[limits->npending].instance =
		limits->instance[limits->npending];
	return &limits->pending[limits->npending++];
}

static void add_pending(struct control *c, const struct inventory_limit *limit)
{
	struct wire_limit *out = pending_entry(c, limit->upstream_id);

	g_strlcpy(out->instance, limit->instance, WIRE_NAME + 1);
	out->upstream = limit->upstream_id;
	out->limit_milli = limit->limit_milli;
}

/* A limit that stays is told again each time that a traffic thread repeats it:
 * messages may be lost, and VMs may have started since. */
void rate_limits_handle_local(void *ctx, void *item)
{
	struct control *c = ctx;
	struct proxy_rate_limit *from = item;
	struct inventory_limit limit = {
		.instance = from->instance,
		.upstream_id = from->upstream_id,
		.limit_milli = from->limit_milli,
		.sent_ms = from->sent_ms,
	};
	int changed = note_limit(c, &limit, "upstream");

	if (changed || limit.limit_milli >= 0)
		add_pending(c, &limit);
	g_free(from);
}

void rate_limits_handle_remote(struct control *c, const struct wire_request *r,
			       const struct wire_limits *limits)
{
	struct wire_result empty = {.proc = WIRE_LIMIT};

	for (u_int i = 0; i < limits->limit.limit_len; i++) {
		const struct wire_limit *from = &limits->limit.limit_val[i];
		struct inventory_limit limit = {
			.instance = from->instance,
			.upstream_id = from->upstream,
			.limit_milli =
				CLAMP(from->limit_milli, -1, LIMIT_MAX_MILLI),
			.sent_ms = PRL_NEVER,
		};

		note_limit(c, &limit, "peer");
	}
	wire_reply(&c->wire, r, &empty, NULL);
}

void rate_limits_tick(struct control *c)
{
	if (c->rate_limits.npending)
		tell_peers(c);
}
