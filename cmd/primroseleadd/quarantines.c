#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/log.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Interval between two messages with news, and between two samples, in ms. */
#define NEWS_INTERVAL_MS 100
#define SAMPLE_INTERVAL_MS 1000

/* Other VMs that news are sent to; each passes on what is new to it, and
 * samples reach those that are left out. */
#define FANOUT 4

/* Retransmission interval and timeout of a message, in ms. */
#define RETRANSMIT_MS 100
#define CALL_TIMEOUT_MS 500

/* Time after the start in which the records are awaited, and interval between
 * two seeds that are asked for theirs, in ms. */
#define LOAD_MAX_MS 2000
#define SEED_INTERVAL_MS 300

_Static_assert(WIRE_CRASHES == QUARANTINE_CRASHES,
	       "the crashes of a record fit its message");

static const char *change_name(enum quarantine_change change)
{
	switch (change) {
	case QUARANTINE_SUSPECTED:
		return "suspected";
	case QUARANTINE_BEGUN:
		return "begun";
	case QUARANTINE_CLEARED:
		return "cleared";
	case QUARANTINE_UNCHANGED:
	case QUARANTINE_OUTDATED:
		break;
	}
	return NULL;
}

void quarantines_log_change(const struct prl_hash128 *digest,
			    enum quarantine_change change, const char *from,
			    const char *instance, const char *about)
{
	char name[QUARANTINE_NAME_MAX];

	if (!change_name(change))
		return;
	quarantine_name_format(digest, name);
	log_event(LOG_LEVEL_AUDIT, "quarantine", "digest", name, "state",
		  change_name(change), "from", from, "upstream", instance,
		  "about", about, NULL);
}

void quarantines_note_crash(struct control *c,
			    const struct quarantines_crash *crash)
{
	enum quarantine_change change;

	if (quarantine_answers_speak(&c->proxy.answers, crash->digest,
				     prl_now_ms()))
		return;
	change = quarantine_crashed(
		proxy_lock_quarantine(&c->proxy), crash->digest, crash->head,
		crash->upstream_id, crash->about, prl_now_ms());
	proxy_unlock_quarantine(&c->proxy);
	quarantines_log_change(crash->digest, change, "upstream",
			       crash->instance, crash->about);
	if (change != QUARANTINE_UNCHANGED)
		c->tick_timer.deadline_ms = prl_now_ms();
}

/* Messages */

static void record_to_wire(struct quarantine_record *r,
			   struct wire_quarantine_record *out)
{
	out->digest_high = r->digest.high;
	out->digest_low = r->digest.low;
	out->head = r->head;
	out->clearance = r->clearance;
	out->crash.crash_val = r->crash;
	out->crash.crash_len = (u_int)r->ncrash;
	out->trials = r->ntrial;
	out->kept_era = r->kept_era;
}

static void record_from_wire(const struct wire_quarantine_record *from,
			     struct quarantine_record *out)
{
	*out = (struct quarantine_record){
		.digest = {from->digest_high, from->digest_low},
		.head = from->head,
		.clearance = MAX(from->clearance, 0),
		.ncrash = (int)MIN(from->crash.crash_len, QUARANTINE_CRASHES),
		.ntrial = MAX(from->trials, 0),
		.kept_era = MAX(from->kept_era, 0),
	};
	for (int i = 0; i < out->ncrash; i++)
		out->crash[i] = from->crash.crash_val[i];
}

/** Records on their way to another VM. */
struct message {
	struct quarantine_record record[WIRE_QUARANTINE_MAX];
	struct wire_quarantine_record wire[WIRE_QUARANTINE_MAX];
	int n;
};

static void fill_message(const struct control *c, struct message *m,
			 struct wire_quarantine *out)
{
	for (int i = 0; i < m->n; i++)
		record_to_wire(&m->record[i], &m->wire[i]);
	out->record.record_val = m->wire;
	out->record.record_len = (u_int)m->n;
	out->complete = c->quarantines.loaded;
}

/* Merges records; those that this VM knows better are put into "better", unless
 * it is null. */
static void merge(struct control *c, const struct wire_quarantine *from,
		  struct message *better)
{
	for (u_int i = 0; i < from->record.record_len; i++) {
		struct quarantine_record r;
		enum quarantine_change change;
		struct quarantine *q = proxy_lock_quarantine(&c->proxy);

		record_from_wire(&from->record.record_val[i], &r);
		change = quarantine_merge(q, &r, prl_now_ms());
		if (better && change == QUARANTINE_OUTDATED)
			better->record[better->n++] =
				quarantine_find(q, &r.digest)->record;
		/* Another VM may not know that this one has an answer. */
		if ((change == QUARANTINE_SUSPECTED ||
		     change == QUARANTINE_BEGUN) &&
		    quarantine_answers_speak(&c->proxy.answers, &r.digest,
					     prl_now_ms()))
			change = quarantine_clear(q, &r.digest, prl_now_ms());
		proxy_unlock_quarantine(&c->proxy);
		quarantines_log_change(&r.digest, change, "peer", "", "");
	}
}

static void on_reply(void *ctx, const struct wire_result *result)
{
	struct control *c = ctx;

	if (!result)
		return;
	merge(c, &result->u.quarantine, NULL);
	if (result->u.quarantine.complete)
		c->quarantines.loaded = 1;
}

static void send_message(struct control *c, const char *to, struct message *m)
{
	struct wire_args args = {.proc = WIRE_QUARANTINE};
	struct wire_call_options o = {
		.deadline_ms = prl_now_ms() + CALL_TIMEOUT_MS,
		.retransmit_ms = RETRANSMIT_MS,
		.done = on_reply,
		.ctx = c,
	};

	fill_message(c, m, &args.u.quarantine);
	wire_call(&c->wire, to, &args, &o, NULL);
}

void quarantines_handle_call(struct control *c, const struct wire_request *r,
			     const struct wire_quarantine *from)
{
	struct wire_result result = {.proc = WIRE_QUARANTINE};
	struct message m = {.n = 0};

	merge(c, from, &m);
	if (!from->record.record_len) {
		m.n = quarantine_sample(proxy_lock_quarantine(&c->proxy),
					m.record, WIRE_QUARANTINE_MAX);
		proxy_unlock_quarantine(&c->proxy);
	}
	fill_message(c, &m, &result.u.quarantine);
	wire_reply(&c->wire, r, &result, NULL);
}

/* Returns the address of a usable member other than this VM, or null. */
static const char *random_member(struct control *c)
{
	int n = c->members.npeer - 1;
	int first = n > 0 ? (int)(control_random() % (uint64_t)n) : 0;

	for (int i = 0; i < n; i++) {
		const struct member_peer *p =
			&c->members.peer[1 + (first + i) % n];

		if (member_is_usable(p))
			return p->vm.rpc;
	}
	return NULL;
}

static void send_to_some(struct control *c, struct message *m, int count)
{
	for (int i = 0; m->n && i < count; i++) {
		const char *to = random_member(c);

		if (to)
			send_message(c, to, m);
	}
}

static void tell_members(struct control *c, int64_t now)
{
	struct quarantines *qs = &c->quarantines;
	struct message m = {.n = 0};

	if (now >= qs->next_news_ms) {
		qs->next_news_ms = now + NEWS_INTERVAL_MS;
		m.n = quarantine_take_news(proxy_lock_quarantine(&c->proxy),
					   m.record, WIRE_QUARANTINE_MAX);
		proxy_unlock_quarantine(&c->proxy);
		send_to_some(c, &m, FANOUT);
	}
	if (now >= qs->next_sample_ms) {
		qs->next_sample_ms = now + SAMPLE_INTERVAL_MS;
		m.n = quarantine_sample(proxy_lock_quarantine(&c->proxy),
					m.record, WIRE_QUARANTINE_MAX);
		proxy_unlock_quarantine(&c->proxy);
		send_to_some(c, &m, 1);
	}
}

/* A VM that starts while the store is away asks a seed. */
static void ask_seed(struct control *c, int64_t now)
{
	const struct prl_settings *s = c->settings;
	struct message none = {.n = 0};
	const char *seed;

	if (c->quarantines.loaded || !s->nseed ||
	    now < c->quarantines.next_seed_ms)
		return;
	c->quarantines.next_seed_ms = now + SEED_INTERVAL_MS;
	seed = s->seed[control_random() % (uint64_t)s->nseed].address;
	if (strcmp(seed, s->listen.rpc))
		send_message(c, seed, &none);
}

int quarantines_ready(const struct control *c, int64_t now)
{
	return c->quarantines.loaded || now > c->started_ms + LOAD_MAX_MS;
}

/* Counts the requests in quarantine. */
static int count_active(struct control *c)
{
	const struct quarantine *q = proxy_lock_quarantine(&c->proxy);
	int n = 0;

	for (int i = 0; i < q->nentry; i++)
		n += quarantine_is_active(&q->entry[i]);
	proxy_unlock_quarantine(&c->proxy);
	return n;
}

void quarantines_init(struct control *c)
{
	kept_quarantines_init(c);
}

void quarantines_tick(struct control *c, int64_t now)
{
	struct metrics *m = &c->proxy.control_metrics;
	int active;

	quarantine_expire(proxy_lock_quarantine(&c->proxy), now);
	proxy_unlock_quarantine(&c->proxy);
	active = count_active(c);
	metrics_set(m, METRIC_QUARANTINE_ACTIVE, (uint64_t)active);
	metrics_set(m, METRIC_QUARANTINE_SUSPECTS,
		    (uint64_t)atomic_load(&c->proxy.nsuspect));
	ask_seed(c, now);
	if (c->source.ready)
		tell_members(c, now);
	kept_quarantines_tick(c, active, now);
}

void quarantines_finish(struct control *c)
{
	kept_quarantines_finish(c);
}
