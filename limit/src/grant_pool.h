#ifndef LIMIT_GRANT_POOL_H
#define LIMIT_GRANT_POOL_H

#include <primroselead/grant.h>

/** Capacity in tokens: the ledger's, if its configuration is newer than this
 * VM's, else this VM's. */
int pool_capacity(const struct grant_pool *p);

/** Tokens of the row that the current capacity allows. */
int pool_usable_tokens(const struct grant_pool *p);

/** Tokens lent, scaled to a capacity and rounded up. */
int pool_lent_tokens(const struct grant_pool *p, int capacity);

/** Tokens that the row must have at a capacity: those lent, and those in use
 * beyond the borrowed ones. */
int pool_required_tokens(const struct grant_pool *p, int capacity);

/** Sets the semaphore's size to the tokens that may be used now: the retained
 * ones within the current capacity, less those lent, plus those borrowed. */
void pool_resize_semaphore(struct grant_pool *p);

/** Lowers the retained tokens to at most "tokens", and the semaphore's size
 * with them. */
void pool_lower_retained(struct grant_pool *p, int tokens);

/** Whether the pool has any loan, lent or borrowed. */
int pool_has_loans(const struct grant_pool *p);

#endif
