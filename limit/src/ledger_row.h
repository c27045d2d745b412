#ifndef LIMIT_LEDGER_ROW_H
#define LIMIT_LEDGER_ROW_H

#include <primroselead/ledger.h>

/** Appends a row without checking the sum of the rows, which is the caller's
 * part. Returns PRL_OK or PRL_E_MEMORY. */
enum prl_code ledger_append_row(struct ledger_pool *p,
				const struct ledger_row *row,
				struct prl_error *err);

#endif
