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

/* Other VMs that news are sent to; each passes on what is new to it, and samples
 * reach those that are left out. */
#define FANOUT 4

/* Retransmission interval and timeout of a message, in ms. */
#define RETRANSMIT_MS 100
#define CALL_TIMEOUT_MS 500

/* Time after the start in which the records are awaited, and interval between
 * two seeds that are asked for theirs, in ms. */
#define LOAD_MAX_MS 2000
#define SEED_INTERVAL_MS 300

/* Interval at which the store is asked for what operators have cleared while a
 * request is in quarantine, in ms, and the number of VMs that ask. */
#define POLL_INTERVAL_MS 5000
#define POLLERS 2

/* Time after which the next VM writes a record that the store does not have
 * yet, in ms, if the one before it has not. */
#define KEEPER_STEP_MS 500

/* Timeout of a call to the store, in ms. */
#define STORE_TIMEOUT_MS 2000

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

static void log_change(const struct prl_hash128 *digest,
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

static struct quarantine *lock(struct control *c)
{
	return proxy_lock_quarantine(&c->proxy);
}

static void unlock(struct control *c)
{
	proxy_unlock_quarantine(&c->proxy);
}

void quarantines_note_crash(struct control *c,
			    const struct quarantines_crash *crash)
{
	enum quarantine_change change;

	if (quarantine_answers_take(&c->proxy.answers, crash->digest,
				    prl_now_ms()))
		return;
	change = quarantine_crashed(lock(c), crash->digest, crash->head,
				    crash->upstream_id, crash->about,
				    prl_now_ms());
	unlock(c);
	log_change(crash->digest, change, "upstream", crash->instance,
		   crash->about);
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
		struct quarantine *q = lock(c);

		record_from_wire(&from->record.record_val[i], &r);
		change = quarantine_merge(q, &r, prl_now_ms());
		if (better && change == QUARANTINE_OUTDATED)
			better->record[better->n++] =
				quarantine_find(q, &r.digest)->record;
		/* Another VM may not know that this one has an answer. */
		if ((change == QUARANTINE_SUSPECTED ||
		     change == QUARANTINE_BEGUN) &&
		    quarantine_answers_take(&c->proxy.answers, &r.digest,
					    prl_now_ms()))
			change = quarantine_clear(q, &r.digest, prl_now_ms());
		unlock(c);
		log_change(&r.digest, change, "peer", "", "");
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
		m.n = quarantine_sample(lock(c), m.record, WIRE_QUARANTINE_MAX);
		unlock(c);
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
		m.n = quarantine_take_news(lock(c), m.record,
					   WIRE_QUARANTINE_MAX);
		unlock(c);
		send_to_some(c, &m, FANOUT);
	}
	if (now >= qs->next_sample_ms) {
		qs->next_sample_ms = now + SAMPLE_INTERVAL_MS;
		m.n = quarantine_sample(lock(c), m.record, WIRE_QUARANTINE_MAX);
		unlock(c);
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

/* The store */

static int64_t current_era(const struct control *c)
{
	return c->store.era + 1;
}

static void install_kept(struct control *c, const char *name, const char *value)
{
	char about[QUARANTINE_ABOUT_MAX];
	struct quarantine_record r;
	struct prl_error err = {0};
	struct quarantine_entry *e;
	enum quarantine_change change;

	if (quarantine_record_parse(name, value, &r, about, &err)) {
		log_event(LOG_LEVEL_WARNING, "quarantine", "error", err.text,
			  NULL);
		return;
	}
	if (r.ncrash)
		r.kept_era = current_era(c);
	change = quarantine_merge(lock(c), &r, prl_now_ms());
	e = quarantine_find(c->proxy.quarantine, &r.digest);
	if (e && !e->about[0])
		memcpy(e->about, about, sizeof(e->about));
	/* An object of a request that is no suspect is of no use. */
	if (e && !e->record.ncrash)
		e->must_remove = 1;
	unlock(c);
	log_change(&r.digest, change, "store", "", about);
}

/* Those that the list lacks are written again. */
static void find_lost(struct control *c, const struct store_call *list)
{
	struct quarantine *q = lock(c);

	for (int i = 0; i < q->nentry; i++)
		q->entry[i].must_keep = quarantine_is_active(&q->entry[i]);
	for (int i = 0; i < list->nobject; i++) {
		const char *name = strrchr(list->object[i].key, '/');
		struct prl_hash128 digest;
		struct quarantine_entry *e = NULL;

		if (name && !quarantine_name_parse(name + 1, &digest))
			e = quarantine_find(q, &digest);
		if (e)
			e->must_keep = 0;
	}
	unlock(c);
}

static void kept_changed(struct store_follower *f, enum store_change change,
			 const char *name, const struct store_object *o)
{
	struct control *c = f->ctx;

	switch (change) {
	case STORE_CHANGE_LIST_BEGIN:
	case STORE_CHANGE_REMOVE:
		break;
	case STORE_CHANGE_PUT:
		install_kept(c, name, o->value);
		break;
	case STORE_CHANGE_LIST_END:
		find_lost(c, &f->call);
		c->quarantines.loaded = 1;
		break;
	}
}

/* Position of this VM among those that keep a request. */
static int position(const struct control *c, const struct prl_hash128 *digest)
{
	return member_spread_rank(&c->members, 0, digest->low,
				  MEMBER_SPREAD_MAX);
}

/* Whether this VM is to write the entry to the store. The VM that saw the
 * request knows most of it. */
static int must_keep(const struct control *c, const struct quarantine_entry *e,
		     int64_t now)
{
	int before = e->about[0] ? 0 : 1 + position(c, &e->record.digest);

	if (!quarantine_is_active(e) ||
	    (e->record.kept_era >= current_era(c) && !e->must_keep))
		return 0;
	return now >= e->changed_ms + before * KEEPER_STEP_MS;
}

static int must_remove(const struct control *c,
		       const struct quarantine_entry *e)
{
	return e->must_remove && !e->record.ncrash &&
	       (e->about[0] || position(c, &e->record.digest) < POLLERS);
}

static void errand_done(struct control *c, int failed)
{
	struct quarantines_errand *errand = &c->quarantines.errand;

	store_call_finish(&errand->call);
	free(errand->value);
	errand->value = NULL;
	errand->active = 0;
	if (failed)
		backoff_schedule(&c->quarantines.backoff, prl_now_ms());
	else
		backoff_reset(&c->quarantines.backoff);
}

static void on_written(struct store_call *call)
{
	struct control *c = call->ctx;
	struct quarantines_errand *errand = &c->quarantines.errand;
	struct quarantine_entry *e;

	if (!call->err.code) {
		e = quarantine_find(lock(c), &errand->digest);
		if (e && e->record.ncrash) {
			e->record.kept_era = current_era(c);
			e->must_keep = 0;
			e->must_tell = 1;
		} else if (e) {
			e->must_remove = 0;
		}
		if (e && errand->is_trial && quarantine_is_active(e))
			quarantine_open_trial(e, e->record.ntrial + 1,
					      prl_now_ms());
		unlock(c);
	}
	errand_done(c, call->err.code != PRL_OK);
}

/* Writes or removes the object. Returns 0, or -1 if there is nothing to do or
 * the call can't be made. */
static int start_write(struct control *c, int64_t version)
{
	struct quarantines_errand *errand = &c->quarantines.errand;
	const struct quarantine_entry *e =
		quarantine_find(lock(c), &errand->digest);
	struct quarantine_record r = {0};

	if (e)
		r = e->record;
	r.ntrial += errand->is_trial;
	if (r.ncrash)
		errand->value = quarantine_record_format(&r, e->about);
	unlock(c);
	if (!errand->value && !version)
		return -1;
	store_call_finish(&errand->call);
	errand->call.op = STORE_PUT;
	errand->call.version = version;
	errand->call.value = errand->value ? errand->value : "";
	errand->call.len = strlen(errand->call.value);
	errand->call.deadline_ms = prl_now_ms() + STORE_TIMEOUT_MS;
	errand->call.done = on_written;
	return store_call_start(&c->store, &errand->call, NULL) ? -1 : 0;
}

/* Whether the store has what is to be written. */
static int is_kept(struct control *c, const struct store_call *call)
{
	const struct quarantines_errand *errand = &c->quarantines.errand;
	struct quarantine_record r;
	char about[QUARANTINE_ABOUT_MAX];
	const struct quarantine_entry *e;
	int same;

	if (errand->is_trial || !call->nobject ||
	    quarantine_record_parse(strrchr(call->key, '/') + 1,
				    call->object[0].value, &r, about, NULL))
		return 0;
	e = quarantine_find(lock(c), &errand->digest);
	same = e && e->record.ncrash && r.ncrash == e->record.ncrash &&
	       r.clearance == e->record.clearance &&
	       r.ntrial == e->record.ntrial;
	unlock(c);
	return same;
}

static void on_read(struct store_call *call)
{
	struct control *c = call->ctx;
	int found = !call->err.code && call->nobject;
	struct prl_error err = call->err;

	if (found)
		install_kept(c, strrchr(call->key, '/') + 1,
			     call->object[0].value);
	if (found && is_kept(c, call)) {
		call->err.code = PRL_OK;
		on_written(call);
		return;
	}
	if ((err.code && err.code != PRL_E_NOT_FOUND) ||
	    start_write(c, found ? call->object[0].version : 0)) {
		int nothing = err.code == PRL_E_NOT_FOUND;
		struct quarantine_entry *e =
			quarantine_find(lock(c), &c->quarantines.errand.digest);

		if (nothing && e && !e->record.ncrash)
			e->must_remove = 0;
		unlock(c);
		errand_done(c, !nothing);
	}
}

/* Each errand reads the object first, since operators change it, too. */
static void start_errand(struct control *c, const struct prl_hash128 *digest,
			 int is_trial, int64_t now)
{
	struct quarantines_errand *errand = &c->quarantines.errand;
	char name[QUARANTINE_NAME_MAX];

	memset(errand, 0, sizeof(*errand));
	errand->digest = *digest;
	errand->is_trial = is_trial;
	quarantine_name_format(digest, name);
	errand->call.op = STORE_GET;
	snprintf(errand->call.key, sizeof(errand->call.key),
		 STORE_KIND_QUARANTINE "/%s", name);
	errand->call.deadline_ms = now + STORE_TIMEOUT_MS;
	errand->call.done = on_read;
	errand->call.ctx = c;
	if (store_call_start(&c->store, &errand->call, NULL))
		backoff_schedule(&c->quarantines.backoff, now);
	else
		errand->active = 1;
}

static void run_errands(struct control *c, int64_t now)
{
	struct quarantines *qs = &c->quarantines;
	const struct quarantine_entry *trial;
	struct prl_hash128 digest = {0};
	struct quarantine *q;
	int is_due = 0;

	if (qs->errand.active || now < qs->backoff.retry_ms)
		return;
	q = lock(c);
	for (int i = 0; i < q->nentry && !is_due; i++) {
		/* Those that are to remove it do so at once. */
		q->entry[i].must_remove = must_remove(c, &q->entry[i]);
		is_due = must_keep(c, &q->entry[i], now) ||
			 q->entry[i].must_remove;
		digest = q->entry[i].record.digest;
	}
	trial = is_due ? NULL : quarantine_due_trial(q, now);
	if (trial)
		digest = trial->record.digest;
	unlock(c);
	if (is_due || trial)
		start_errand(c, &digest, trial != NULL, now);
}

/* Counts the requests in quarantine. */
static int count_active(struct control *c)
{
	const struct quarantine *q = lock(c);
	int n = 0;

	for (int i = 0; i < q->nentry; i++)
		n += quarantine_is_active(&q->entry[i]);
	unlock(c);
	return n;
}

static int polls_store(struct control *c, int active)
{
	if (!c->quarantines.follower.listed)
		return 1;
	return active &&
	       member_spread_rank(&c->members, 0, prl_hash_string("quarantine"),
				  POLLERS) < POLLERS;
}

void quarantines_init(struct control *c)
{
	source_init_follower(c, &c->quarantines.follower, STORE_KIND_QUARANTINE,
			     kept_changed);
	c->quarantines.follower.on_reachability = NULL;
	c->quarantines.follower.poll_interval_ms = POLL_INTERVAL_MS;
}

void quarantines_tick(struct control *c, int64_t now)
{
	struct metrics *m = &c->proxy.control_metrics;
	int active;

	quarantine_expire(lock(c), now);
	unlock(c);
	active = count_active(c);
	metrics_set(m, METRIC_QUARANTINE_ACTIVE, (uint64_t)active);
	metrics_set(m, METRIC_QUARANTINE_SUSPECTS,
		    (uint64_t)atomic_load(&c->proxy.nsuspect));
	if (polls_store(c, active))
		store_follower_tick(&c->quarantines.follower, now,
				    control_random());
	ask_seed(c, now);
	if (!c->source.ready)
		return;
	tell_members(c, now);
	run_errands(c, now);
}

void quarantines_finish(struct control *c)
{
	struct quarantines_errand *errand = &c->quarantines.errand;

	if (errand->active) {
		store_call_cancel(&errand->call);
		errand_done(c, 0);
	}
	store_follower_finish(&c->quarantines.follower);
}
