#ifndef CONFIG_INDEX_TABLE_H
#define CONFIG_INDEX_TABLE_H

#include <primroselead/config.h>

void config_index_table_init(struct config_index_table *t);
void config_index_table_finish(struct config_index_table *t);

/** Returns the index of a name of a service and assigns one on first use; -1
 * if all CONFIG_INDEXES_MAX indexes are in use. */
int config_index_get(struct config_index_table *t, const char *service,
		     const char *name);

/**
 * Begin and end a round in which config_index_get is called for every name in
 * use. The end frees the indexes of names that no round has asked for in a
 * long time. A table without rounds never frees an index.
 */
void config_index_round_begin(struct config_index_table *t);
void config_index_round_end(struct config_index_table *t, int64_t now);

#endif
