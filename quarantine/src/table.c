/* The table of requests and its bound. */
#include "table.h"
#include <string.h>

static int same_digest(const struct prl_hash128 *a, const struct prl_hash128 *b)
{
	return a->high == b->high && a->low == b->low;
}

struct quarantine_entry *quarantine_find(struct quarantine *q,
					 const struct prl_hash128 *digest)
{
	for (int i = 0; i < q->nentry; i++)
		if (same_digest(&q->entry[i].record.digest, digest))
			return &q->entry[i];
	return NULL;
}

int quarantine_has_head(const struct quarantine *q, uint64_t head)
{
	for (int i = 0; i < q->nentry; i++)
		if (q->entry[i].record.ncrash &&
		    q->entry[i].record.head == head)
			return 1;
	return 0;
}

void table_remove(struct quarantine *q, int i)
{
	q->entry[i] = q->entry[--q->nentry];
}

void table_count(struct quarantine *q)
{
	q->nsuspect = 0;
	for (int i = 0; i < q->nentry; i++)
		q->nsuspect += q->entry[i].record.ncrash > 0;
}

static int64_t last_touched_ms(const struct quarantine_entry *e)
{
	return e->used_ms > e->changed_ms ? e->used_ms : e->changed_ms;
}

/* Whether a is dropped before b: the one under which fewer upstreams have
 * ended, then the older one. */
static int is_dropped_before(const struct quarantine_entry *a,
			     const struct quarantine_entry *b)
{
	if (a->record.ncrash != b->record.ncrash)
		return a->record.ncrash < b->record.ncrash;
	return last_touched_ms(a) < last_touched_ms(b);
}

/* Makes room for an entry. A flood of requests with few crashes drops none that
 * has more. Returns 0, or -1 if there is no room. */
static int make_room(struct quarantine *q, int ncrash)
{
	int first = 0;

	if (q->nentry < QUARANTINE_ENTRIES_MAX)
		return 0;
	for (int i = 1; i < q->nentry; i++)
		if (is_dropped_before(&q->entry[i], &q->entry[first]))
			first = i;
	if (q->entry[first].record.ncrash > ncrash)
		return -1;
	table_remove(q, first);
	return 0;
}

struct quarantine_entry *table_add(struct quarantine *q,
				   const struct prl_hash128 *digest, int ncrash)
{
	struct quarantine_entry *e = quarantine_find(q, digest);

	if (e)
		return e;
	if (make_room(q, ncrash))
		return NULL;
	e = &q->entry[q->nentry++];
	memset(e, 0, sizeof(*e));
	e->record.digest = *digest;
	return e;
}
