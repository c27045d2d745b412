/* What becomes of a request, and how long what is known of it counts. */
#include "table.h"

#define MINUTE_MS ((int64_t)60000)
#define HOUR_MS (60 * MINUTE_MS)
#define DAY_MS (24 * HOUR_MS)

/* Time after the last crash in which a suspect is forgotten, and after which a
 * clearance is: other VMs may hold older records that long. */
#define SUSPECT_MS HOUR_MS
#define CLEARANCE_MS HOUR_MS

/* Time after which a request that nobody asks for is cleared. */
#define UNUSED_MS (7 * DAY_MS)

/* Times from the quarantine's begin to the first trial and from each to the
 * next; the last one repeats. The first is short, since a request that is
 * innocent is harmed until then; three are due in the first day. */
static const int64_t trial_delay_ms[] = {MINUTE_MS, HOUR_MS, 12 * HOUR_MS,
					 DAY_MS};

#define TRIAL_DELAYS (int)(sizeof(trial_delay_ms) / sizeof(trial_delay_ms[0]))

int quarantine_is_active(const struct quarantine_entry *e)
{
	return e->record.ncrash == QUARANTINE_CRASHES;
}

enum quarantine_verdict quarantine_enter(struct quarantine *q,
					 const struct prl_hash128 *digest,
					 int64_t now)
{
	struct quarantine_entry *e = quarantine_find(q, digest);

	if (!e || !e->record.ncrash)
		return QUARANTINE_PASS;
	e->used_ms = now;
	if (e->record.ncrash < QUARANTINE_CRASHES - 1)
		return QUARANTINE_WATCH;
	if (quarantine_is_active(e) && !e->trial_open)
		return QUARANTINE_REJECT;
	if (e->running)
		return QUARANTINE_BUSY;
	e->trial_open = 0;
	e->running = 1;
	return QUARANTINE_ALONE;
}

void quarantine_leave(struct quarantine *q, const struct prl_hash128 *digest)
{
	struct quarantine_entry *e = quarantine_find(q, digest);

	if (e)
		e->running = 0;
}

int quarantine_may_retry(struct quarantine *q, const struct prl_hash128 *digest,
			 uint64_t upstream)
{
	const struct quarantine_entry *e = quarantine_find(q, digest);

	for (int i = 0; e && i < e->record.ncrash; i++)
		if (e->record.crash[i] != upstream)
			return 0;
	return 1;
}

static void schedule_trial(struct quarantine_entry *e, int64_t now)
{
	int i = e->record.ntrial < TRIAL_DELAYS ? e->record.ntrial
						: TRIAL_DELAYS - 1;

	e->trial_open = 0;
	e->trial_ms = now + trial_delay_ms[i];
}

struct quarantine_entry *quarantine_due_trial(struct quarantine *q, int64_t now)
{
	for (int i = 0; i < q->nentry; i++) {
		struct quarantine_entry *e = &q->entry[i];

		if (quarantine_is_active(e) && !e->trial_open &&
		    now >= e->trial_ms && e->used_ms >= e->trial_ms)
			return e;
	}
	return NULL;
}

void quarantine_open_trial(struct quarantine_entry *e, int ntrial, int64_t now)
{
	e->record.ntrial = ntrial;
	schedule_trial(e, now);
	e->trial_open = 1;
	e->must_tell = 1;
}

/* Adds a crash, in order. Returns 1, or 0 if it is known or there is no room.
 */
static int add_crash(struct quarantine_record *r, uint64_t upstream)
{
	int at = r->ncrash;

	if (r->ncrash == QUARANTINE_CRASHES)
		return 0;
	for (int i = 0; i < r->ncrash; i++)
		if (r->crash[i] == upstream)
			return 0;
	for (; at > 0 && r->crash[at - 1] > upstream; at--)
		r->crash[at] = r->crash[at - 1];
	r->crash[at] = upstream;
	r->ncrash++;
	return 1;
}

/* Notes that others must know of a change. */
static void touch(struct quarantine_entry *e, int64_t now)
{
	e->changed_ms = now;
	e->must_tell = 1;
}

/* Makes the entry one of a request that is no suspect. */
static enum quarantine_change end_suspicion(struct quarantine *q,
					    struct quarantine_entry *e,
					    int64_t clearance, int64_t now)
{
	int was_suspect = e->record.ncrash > 0;

	e->must_remove |= e->record.kept_era != 0;
	e->record.clearance = clearance;
	e->record.ncrash = 0;
	e->record.ntrial = 0;
	e->record.kept_era = 0;
	e->trial_open = 0;
	touch(e, now);
	table_count(q);
	return was_suspect ? QUARANTINE_CLEARED : QUARANTINE_UNCHANGED;
}

static int shares_crash(const struct quarantine_record *a,
			const struct quarantine_record *b)
{
	for (int i = 0; i < a->ncrash; i++)
		for (int k = 0; k < b->ncrash; k++)
			if (a->crash[i] == b->crash[k])
				return 1;
	return 0;
}

/* What a convicted request has ended was not ended by the others that ran
 * there.
 */
static void clear_bystanders(struct quarantine *q,
			     const struct quarantine_entry *convicted,
			     int64_t now)
{
	for (int i = 0; i < q->nentry; i++) {
		struct quarantine_entry *e = &q->entry[i];

		if (!quarantine_is_active(e) &&
		    shares_crash(&e->record, &convicted->record))
			end_suspicion(q, e, e->record.clearance + 1, now);
	}
}

/* Ends a change of an entry's crashes. */
static enum quarantine_change note_change(struct quarantine *q,
					  struct quarantine_entry *e,
					  int ncrash_before, int64_t now)
{
	touch(e, now);
	table_count(q);
	if (e->record.ncrash <= ncrash_before)
		return QUARANTINE_UNCHANGED;
	if (!quarantine_is_active(e))
		return QUARANTINE_SUSPECTED;
	schedule_trial(e, now);
	clear_bystanders(q, e, now);
	return QUARANTINE_BEGUN;
}

static void copy_about(struct quarantine_entry *e, const char *about)
{
	size_t i;

	if (!about || e->about[0])
		return;
	for (i = 0; about[i] && i < sizeof(e->about) - 1; i++)
		e->about[i] = about[i] > ' ' && about[i] < 127 ? about[i] : ' ';
	e->about[i] = 0;
}

enum quarantine_change quarantine_crashed(struct quarantine *q,
					  const struct prl_hash128 *digest,
					  uint64_t head, uint64_t upstream,
					  const char *about, int64_t now)
{
	struct quarantine_entry *e = table_add(q, digest, 1);
	int before;

	if (!e)
		return QUARANTINE_UNCHANGED;
	before = e->record.ncrash;
	e->record.head = head;
	copy_about(e, about);
	if (!add_crash(&e->record, upstream))
		return QUARANTINE_UNCHANGED;
	return note_change(q, e, before, now);
}

enum quarantine_change quarantine_clear(struct quarantine *q,
					const struct prl_hash128 *digest,
					int64_t now)
{
	struct quarantine_entry *e = quarantine_find(q, digest);

	if (!e || !e->record.ncrash)
		return QUARANTINE_UNCHANGED;
	return end_suspicion(q, e, e->record.clearance + 1, now);
}

/* Merges a record with the same clearance. */
static enum quarantine_change
merge_crashes(struct quarantine *q, struct quarantine_entry *e,
	      const struct quarantine_record *from, int64_t now)
{
	struct quarantine_record *r = &e->record;
	int before = r->ncrash;
	int changed = 0;

	for (int i = 0; i < from->ncrash && i < QUARANTINE_CRASHES; i++)
		changed |= add_crash(r, from->crash[i]);
	if (from->ntrial > r->ntrial) {
		r->ntrial = from->ntrial;
		schedule_trial(e, now);
		changed = 1;
	}
	if (from->kept_era > r->kept_era) {
		r->kept_era = from->kept_era;
		changed = 1;
	}
	return changed ? note_change(q, e, before, now) : QUARANTINE_UNCHANGED;
}

enum quarantine_change quarantine_merge(struct quarantine *q,
					const struct quarantine_record *from,
					int64_t now)
{
	struct quarantine_entry *e = quarantine_find(q, &from->digest);
	enum quarantine_change ended = QUARANTINE_UNCHANGED;
	enum quarantine_change change;

	if (!e)
		e = table_add(q, &from->digest, from->ncrash);
	if (!e)
		return QUARANTINE_UNCHANGED;
	if (from->clearance < e->record.clearance)
		return QUARANTINE_OUTDATED;
	e->record.head = from->head;
	if (from->clearance > e->record.clearance)
		ended = end_suspicion(q, e, from->clearance, now);
	change = merge_crashes(q, e, from, now);
	return change == QUARANTINE_UNCHANGED ? ended : change;
}

static int is_forgotten(const struct quarantine_entry *e, int64_t now)
{
	if (e->must_remove || e->running || quarantine_is_active(e))
		return 0;
	if (!e->record.ncrash)
		return now - e->changed_ms > CLEARANCE_MS;
	return now - e->changed_ms > SUSPECT_MS &&
	       now - e->used_ms > SUSPECT_MS;
}

static int is_unused(const struct quarantine_entry *e, int64_t now)
{
	return quarantine_is_active(e) && now - e->changed_ms > UNUSED_MS &&
	       now - e->used_ms > UNUSED_MS;
}

void quarantine_expire(struct quarantine *q, int64_t now)
{
	for (int i = q->nentry - 1; i >= 0; i--) {
		struct quarantine_entry *e = &q->entry[i];

		if (is_unused(e, now))
			end_suspicion(q, e, e->record.clearance + 1, now);
		else if (is_forgotten(e, now))
			table_remove(q, i);
	}
	table_count(q);
}

int quarantine_take_news(struct quarantine *q, struct quarantine_record *out,
			 int max)
{
	int n = 0;

	for (int i = 0; i < q->nentry && n < max; i++) {
		if (!q->entry[i].must_tell)
			continue;
		q->entry[i].must_tell = 0;
		out[n++] = q->entry[i].record;
	}
	return n;
}

int quarantine_sample(struct quarantine *q, struct quarantine_record *out,
		      int max)
{
	int n = 0;
	int i;

	for (i = 0; i < q->nentry && n < max; i++) {
		const struct quarantine_entry *e =
			&q->entry[(q->sampled + i) % q->nentry];

		if (e->record.ncrash)
			out[n++] = e->record;
	}
	if (q->nentry)
		q->sampled = (q->sampled + i) % q->nentry;
	return n;
}
