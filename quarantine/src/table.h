#ifndef QUARANTINE_TABLE_H
#define QUARANTINE_TABLE_H

#include <primroselead/quarantine.h>

/** Returns the entry of a digest, made if there is none; null if the table is
 * full of entries that weigh more than one with this many crashes. */
struct quarantine_entry *
table_add(struct quarantine *q, const struct prl_hash128 *digest, int ncrash);

/** Removes the entry at an index; the last entry takes its place. */
void table_remove(struct quarantine *q, int i);

/** Counts the suspects anew after entries have changed. */
void table_count(struct quarantine *q);

#endif
