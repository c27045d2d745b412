#ifndef CLAIM_TABLE_H
#define CLAIM_TABLE_H

#include <primroselead/claim.h>

/** Initializes an empty table. Returns PRL_OK or PRL_E_MEMORY. */
enum prl_code claim_table_init(struct claim_table *t);

/** Frees the table. */
void claim_table_finish(struct claim_table *t);

/** Entry of a key, or null. Valid until the table is changed. */
struct claim_entry *claim_table_find(const struct claim_table *t,
				     struct prl_hash128 key);

/** Adds or replaces the record of a key, stored in the segment with this
 * sequence. Returns PRL_OK or PRL_E_MEMORY. */
enum prl_code claim_table_set(struct claim_table *t,
			      const struct claim_record *r, int64_t sequence);

/** Removes the entries whose segment has this sequence or a lower one. Returns
 * PRL_OK, or PRL_E_MEMORY with the table unchanged. */
enum prl_code claim_table_expire(struct claim_table *t, int64_t sequence);

#endif
