#include "table.h"
#include <stdlib.h>

#define INITIAL_ENTRIES 256
#define EMPTY_SEQUENCE (-1)

static struct claim_entry *alloc_entries(uint32_t size)
{
	struct claim_entry *e = calloc(size, sizeof(*e));

	for (uint32_t i = 0; e && i < size; i++)
		e[i].sequence = EMPTY_SEQUENCE;
	return e;
}

enum prl_code claim_table_init(struct claim_table *t)
{
	t->entry = alloc_entries(INITIAL_ENTRIES);
	t->size = INITIAL_ENTRIES;
	t->used = 0;
	return t->entry ? PRL_OK : PRL_E_MEMORY;
}

void claim_table_finish(struct claim_table *t)
{
	free(t->entry);
	t->entry = NULL;
}

/* Entry of the key, or the empty entry where it belongs. */
static struct claim_entry *find_entry(const struct claim_table *t,
				      struct prl_hash128 key)
{
	uint32_t mask = t->size - 1;
	uint32_t i = (uint32_t)key.low & mask;

	while (t->entry[i].sequence != EMPTY_SEQUENCE) {
		const struct prl_hash128 *k = &t->entry[i].record.key;

		if (k->low == key.low && k->high == key.high)
			break;
		i = (i + 1) & mask;
	}
	return &t->entry[i];
}

struct claim_entry *claim_table_find(const struct claim_table *t,
				     struct prl_hash128 key)
{
	struct claim_entry *e = find_entry(t, key);

	return e->sequence == EMPTY_SEQUENCE ? NULL : e;
}

/* Moves the entries with a sequence above "after" into a new table. */
static enum prl_code rehash(struct claim_table *t, uint32_t size, int64_t after)
{
	struct claim_table next = {.entry = alloc_entries(size), .size = size};

	if (!next.entry)
		return PRL_E_MEMORY;
	for (uint32_t i = 0; i < t->size; i++) {
		const struct claim_entry *e = &t->entry[i];

		if (e->sequence <= after)
			continue;
		*find_entry(&next, e->record.key) = *e;
		next.used++;
	}
	free(t->entry);
	*t = next;
	return PRL_OK;
}

enum prl_code claim_table_set(struct claim_table *t,
			      const struct claim_record *r, int64_t sequence)
{
	struct claim_entry *e;

	if (t->used * 2 >= t->size && rehash(t, t->size * 2, EMPTY_SEQUENCE))
		return PRL_E_MEMORY;
	e = find_entry(t, r->key);
	if (e->sequence == EMPTY_SEQUENCE)
		t->used++;
	e->record = *r;
	e->sequence = sequence;
	return PRL_OK;
}

enum prl_code claim_table_expire(struct claim_table *t, int64_t sequence)
{
	return rehash(t, t->size, sequence);
}
