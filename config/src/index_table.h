#ifndef CONFIG_INDEX_TABLE_H
#define CONFIG_INDEX_TABLE_H

#include <primroselead/config.h>

/** Makes an empty table of cells; frees it. */
void config_index_table_init(struct config_index_table *c);
void config_index_table_finish(struct config_index_table *c);

/** Number of a name in a table of cells, given out when first asked for; -1 if
 * there are too many. */
int config_index_get(struct config_index_table *c, const char *service,
		     const char *name);

/** Brackets a round that asks for the numbers of all names in use. Those of
 * names that no round asked for in a long time are given to others. A table
 * whose rounds are not bracketed keeps all. */
void config_index_round_begin(struct config_index_table *c);
void config_index_round_end(struct config_index_table *c, int64_t now);

#endif
