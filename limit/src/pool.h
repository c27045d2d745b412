#ifndef LIMIT_POOL_H
#define LIMIT_POOL_H

#include <primroselead/grant.h>

/** The newer one of the capacities that this VM and the ledger know. */
int pool_capacity(const struct grant_pool *p);

/** Part of the row that the capacity allows. */
int pool_usable_tokens(const struct grant_pool *p);

/** Tokens lent, as a part of a capacity. */
int pool_lent_tokens(const struct grant_pool *p, int capacity);

/** Tokens that the row must cover at a capacity: what is lent, and what is in
 * use beyond what is borrowed. */
int pool_required_tokens(const struct grant_pool *p, int capacity);

/** Sets the hold to what may be used now. */
void pool_resize_semaphore(struct grant_pool *p);

/** Lowers the own part, and the hold with it. */
void pool_lower_retained(struct grant_pool *p, int to);

/** Whether anything is lent or borrowed. */
int pool_has_loans(const struct grant_pool *p);

#endif
