/* Lasting numbers for names, given back when their names are long gone. */
#include "index_table.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time for which a number rests after its name was last used, in ms: longer
 * than any request runs and than anything is remembered of an upstream. */
#define REST_MS 600000

/* The number of one name. */
struct cell {
	int number;
	/** Round in which it was last asked for. */
	uint64_t round;
	/** When a round first passed without it; 0 while it is used. */
	int64_t left_ms;
};

void config_cells_init(struct config_index_table *c)
{
	memset(c, 0, sizeof(*c));
	c->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->free_indexes = g_array_new(FALSE, FALSE, sizeof(int));
}

void config_cells_finish(struct config_index_table *c)
{
	g_hash_table_destroy(c->by_name);
	g_array_free(c->free_indexes, TRUE);
}

static int take_number(struct config_index_table *c)
{
	int number;

	if (!c->free_indexes->len)
		return c->nallocated < CONFIG_INDEXES_MAX ? c->nallocated++
							  : -1;
	number = g_array_index(c->free_indexes, int, c->free_indexes->len - 1);
	g_array_set_size(c->free_indexes, c->free_indexes->len - 1);
	return number;
}

int config_cell(struct config_index_table *c, const char *service,
		const char *name)
{
	char key[PRL_NAME_MAX * 3 + 4];
	struct cell *cell;
	int number;

	snprintf(key, sizeof(key), "%s %s", service, name);
	cell = g_hash_table_lookup(c->by_name, key);
	if (!cell) {
		number = take_number(c);
		if (number < 0)
			return -1;
		cell = g_new0(struct cell, 1);
		cell->number = number;
		g_hash_table_insert(c->by_name, g_strdup(key), cell);
	}
	cell->round = c->round;
	return cell->number;
}

void config_cells_begin(struct config_index_table *c)
{
	c->round++;
}

/* Whether a number has rested long enough since its name was last used. */
static int has_rested(const struct config_index_table *c, struct cell *cell,
		      int64_t now)
{
	if (cell->round == c->round) {
		cell->left_ms = 0;
		return 0;
	}
	if (!cell->left_ms)
		cell->left_ms = now;
	return now - cell->left_ms >= REST_MS;
}

void config_cells_end(struct config_index_table *c, int64_t now)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cell *cell = value;

		if (!has_rested(c, cell, now))
			continue;
		g_array_append_val(c->free_indexes, cell->number);
		g_hash_table_iter_remove(&it);
	}
}
