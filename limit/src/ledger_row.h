#ifndef LIMIT_LEDGER_ROW_H
#define LIMIT_LEDGER_ROW_H

#include <primroselead/ledger.h>

/** Adds a row as it stands; the caller checks the sum of the shares. */
enum prl_code ledger_append_row(struct ledger_pool *p,
				const struct ledger_row *row,
				struct prl_error *err);

#endif
