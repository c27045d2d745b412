#ifndef CLAIM_TABLE_H
#define CLAIM_TABLE_H

#include <primroselead/claim.h>

/** Makes an empty table. Returns PRL_OK or PRL_E_MEMORY. */
enum prl_code claim_table_init(struct claim_table *t);

/** Frees the table. */
void claim_table_finish(struct claim_table *t);

/** Entry of a key, or null. */
struct claim_entry *claim_table_find(const struct claim_table *t,
				     struct prl_hash128 key);

/** Sets the record of a key. Returns PRL_OK or PRL_E_MEMORY. */
enum prl_code claim_table_set(struct claim_table *t,
			      const struct claim_record *r, int64_t sequence);

/** Removes all records last written in a segment up to this one. */
enum prl_code claim_table_expire(struct claim_table *t, int64_t sequence);

#endif
