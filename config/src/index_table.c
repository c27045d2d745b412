/* Stable indexes for names, freed after their names are no longer in use. */
#include "index_table.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Delay in ms before the index of an unused name may be reused. Longer than
 * any request runs and than any state of an upstream is kept, so that a late
 * update cannot reach the index's next user. */
#define INDEX_REUSE_DELAY_MS 600000

struct index_entry {
	int index;
	/** Last round in which the name was in use. */
	uint64_t round;
	/** End of the first round without the name, in ms of prl_now_ms; 0
	 * while the name is in use. */
	int64_t unused_since_ms;
};

void config_index_table_init(struct config_index_table *t)
{
	memset(t, 0, sizeof(*t));
	t->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->free_indexes = g_array_new(FALSE, FALSE, sizeof(int));
}

void config_index_table_finish(struct config_index_table *t)
{
	g_hash_table_destroy(t->by_name);
	g_array_free(t->free_indexes, TRUE);
}

static int allocate_index(struct config_index_table *t)
{
	int index;

	if (!t->free_indexes->len)
		return t->nallocated < CONFIG_INDEXES_MAX ? t->nallocated++
							  : -1;
	index = g_array_index(t->free_indexes, int, t->free_indexes->len - 1);
	g_array_set_size(t->free_indexes, t->free_indexes->len - 1);
	return index;
}

int config_index_get(struct config_index_table *t, const char *service,
		     const char *name)
{
	char *key = g_strdup_printf("%s %s", service, name);
	struct index_entry *e = g_hash_table_lookup(t->by_name, key);
	int index = e ? e->index : allocate_index(t);

	if (!e && index >= 0) {
		e = g_new0(struct index_entry, 1);
		e->index = index;
		g_hash_table_insert(t->by_name, key, e);
		key = NULL;
	}
	g_free(key);
	if (e)
		e->round = t->round;
	return index;
}

void config_index_round_begin(struct config_index_table *t)
{
	t->round++;
}

/* Called at the end of a round: updates the time since which the name is
 * unused, and returns 1 if it has been unused for INDEX_REUSE_DELAY_MS. */
static int is_reusable(const struct config_index_table *t,
		       struct index_entry *e, int64_t now)
{
	if (e->round == t->round) {
		e->unused_since_ms = 0;
		return 0;
	}
	if (!e->unused_since_ms)
		e->unused_since_ms = now;
	return now - e->unused_since_ms >= INDEX_REUSE_DELAY_MS;
}

void config_index_round_end(struct config_index_table *t, int64_t now)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, t->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct index_entry *e = value;

		if (!is_reusable(t, e, now))
			continue;
		g_array_append_val(t->free_indexes, e->index);
		g_hash_table_iter_remove(&it);
	}
}
