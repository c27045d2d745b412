#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/log.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Interval at which the store is asked for what operators have cleared while a
 * request is in quarantine, in ms, and the number of VMs that ask. */
#define POLL_INTERVAL_MS 5000
#define POLLERS 2

/* Time after which the next VM writes a record that the store does not have
 * yet, in ms, if the one before it has not. */
#define KEEPER_STEP_MS 500

/* Timeout of a call to the store, in ms. */
#define STORE_TIMEOUT_MS 2000

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
	change = quarantine_merge(proxy_lock_quarantine(&c->proxy), &r,
				  prl_now_ms());
	e = quarantine_find(c->proxy.quarantine, &r.digest);
	if (e && !e->about[0])
		memcpy(e->about, about, sizeof(e->about));
	/* An object of a request that is no suspect is of no use. */
	if (e && !e->record.ncrash)
		e->must_remove = 1;
	proxy_unlock_quarantine(&c->proxy);
	quarantines_log_change(&r.digest, change, "store", "", about);
}

/* Those that the list lacks are written again. */
static void find_lost(struct control *c, const struct store_call *list)
{
	struct quarantine *q = proxy_lock_quarantine(&c->proxy);

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
	proxy_unlock_quarantine(&c->proxy);
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
	struct kept_errand *errand = &c->quarantines.kept.errand;

	store_call_finish(&errand->call);
	free(errand->value);
	errand->value = NULL;
	errand->active = 0;
	if (failed)
		backoff_schedule(&c->quarantines.kept.backoff, prl_now_ms());
	else
		backoff_reset(&c->quarantines.kept.backoff);
}

static void on_written(struct store_call *call)
{
	struct control *c = call->ctx;
	struct kept_errand *errand = &c->quarantines.kept.errand;
	struct quarantine_entry *e;

	if (!call->err.code) {
		e = quarantine_find(proxy_lock_quarantine(&c->proxy),
				    &errand->digest);
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
		proxy_unlock_quarantine(&c->proxy);
	}
	errand_done(c, call->err.code != PRL_OK);
}

/* Whether a trial is still due: another VM may just have had it. */
static int is_trial_due(const struct quarantine_entry *e)
{
	return e && quarantine_is_active(e) && prl_now_ms() >= e->trial_ms;
}

/* Writes or removes the object. Returns 0, or -1 if there is nothing to do or
 * the call can't be made. */
static int start_write(struct control *c, int64_t version)
{
	struct kept_errand *errand = &c->quarantines.kept.errand;
	const struct quarantine_entry *e = quarantine_find(
		proxy_lock_quarantine(&c->proxy), &errand->digest);
	struct quarantine_record r = {0};
	int is_void = errand->is_trial && !is_trial_due(e);

	if (e)
		r = e->record;
	r.ntrial += errand->is_trial;
	if (r.ncrash && !is_void)
		errand->value = quarantine_record_format(&r, e->about);
	proxy_unlock_quarantine(&c->proxy);
	if (is_void || (!errand->value && !version))
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
	const struct kept_errand *errand = &c->quarantines.kept.errand;
	struct quarantine_record r;
	char about[QUARANTINE_ABOUT_MAX];
	const struct quarantine_entry *e;
	int same;

	if (errand->is_trial || !call->nobject ||
	    quarantine_record_parse(strrchr(call->key, '/') + 1,
				    call->object[0].value, &r, about, NULL))
		return 0;
	e = quarantine_find(proxy_lock_quarantine(&c->proxy), &errand->digest);
	same = e && e->record.ncrash && r.ncrash == e->record.ncrash &&
	       r.clearance == e->record.clearance &&
	       r.ntrial == e->record.ntrial;
	proxy_unlock_quarantine(&c->proxy);
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
			quarantine_find(proxy_lock_quarantine(&c->proxy),
					&c->quarantines.kept.errand.digest);

		if (nothing && e && !e->record.ncrash)
			e->must_remove = 0;
		proxy_unlock_quarantine(&c->proxy);
		errand_done(c, !nothing);
	}
}

/* Each errand reads the object first, since operators change it, too. */
static void start_errand(struct control *c, const struct prl_hash128 *digest,
			 int is_trial, int64_t now)
{
	struct kept_errand *errand = &c->quarantines.kept.errand;
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
		backoff_schedule(&c->quarantines.kept.backoff, now);
	else
		errand->active = 1;
}

static void run_errands(struct control *c, int64_t now)
{
	struct kept_quarantines *kept = &c->quarantines.kept;
	const struct quarantine_entry *trial;
	struct prl_hash128 digest = {0};
	struct quarantine *q;
	int is_due = 0;

	if (kept->errand.active || now < kept->backoff.retry_ms)
		return;
	q = proxy_lock_quarantine(&c->proxy);
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
	proxy_unlock_quarantine(&c->proxy);
	if (is_due || trial)
		start_errand(c, &digest, trial != NULL, now);
}

static int polls_store(struct control *c, int active)
{
	if (!c->quarantines.kept.follower.listed)
		return 1;
	return active &&
	       member_spread_rank(&c->members, 0, prl_hash_string("quarantine"),
				  POLLERS) < POLLERS;
}

void kept_quarantines_init(struct control *c)
{
	struct store_follower *f = &c->quarantines.kept.follower;

	source_init_follower(c, f, STORE_KIND_QUARANTINE, kept_changed);
	f->on_reachability = NULL;
	f->poll_interval_ms = POLL_INTERVAL_MS;
}

void kept_quarantines_tick(struct control *c, int active, int64_t now)
{
	if (polls_store(c, active))
		store_follower_tick(&c->quarantines.kept.follower, now,
				    control_random());
	if (c->source.ready)
		run_errands(c, now);
}

void kept_quarantines_finish(struct control *c)
{
	struct kept_errand *errand = &c->quarantines.kept.errand;

	if (errand->active) {
		store_call_cancel(&errand->call);
		errand_done(c, 0);
	}
	store_follower_finish(&c->quarantines.kept.follower);
}
