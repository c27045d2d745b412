#include "table.h"
#include <stdlib.h>

#define SIZE_MIN 256
#define FREE_PLACE (-1)

static struct claim_entry *new_entries(uint32_t size)
{
	struct claim_entry *e = calloc(size, sizeof(*e));

	for (uint32_t i = 0; e && i < size; i++)
		e[i].sequence = FREE_PLACE;
	return e;
}

enum prl_code claim_table_init(struct claim_table *t)
{
	t->entry = new_entries(SIZE_MIN);
	t->size = SIZE_MIN;
	t->used = 0;
	return t->entry ? PRL_OK : PRL_E_MEMORY;
}

void claim_table_finish(struct claim_table *t)
{
	free(t->entry);
	t->entry = NULL;
}

/* Entry of the key, or the free place where it belongs. */
static struct claim_entry *place(const struct claim_table *t,
				 struct prl_hash128 key)
{
	uint32_t mask = t->size - 1;
	uint32_t i = (uint32_t)key.low & mask;

	while (t->entry[i].sequence != FREE_PLACE) {
		const struct prl_hash128 *have = &t->entry[i].record.key;

		if (have->low == key.low && have->high == key.high)
			break;
		i = (i + 1) & mask;
	}
	return &t->entry[i];
}

struct claim_entry *claim_table_find(const struct claim_table *t,
				     struct prl_hash128 key)
{
	struct claim_entry *e = place(t, key);

	return e->sequence == FREE_PLACE ? NULL : e;
}

/* Moves all entries after a sequence into a new table. */
static enum prl_code rebuild(struct claim_table *t, uint32_t size,
			     int64_t after)
{
	struct claim_table next = {.entry = new_entries(size), .size = size};

	if (!next.entry)
		return PRL_E_MEMORY;
	for (uint32_t i = 0; i < t->size; i++) {
		const struct claim_entry *e = &t->entry[i];

		if (e->sequence <= after)
			continue;
		*place(&next, e->record.key) = *e;
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

	if (t->used * 2 >= t->size && rebuild(t, t->size * 2, FREE_PLACE))
		return PRL_E_MEMORY;
	e = place(t, r->key);
	if (e->sequence == FREE_PLACE)
		t->used++;
	e->record = *r;
	e->sequence = sequence;
	return PRL_OK;
}

enum prl_code claim_table_expire(struct claim_table *t, int64_t sequence)
{
	return rebuild(t, t->size, sequence);
}
