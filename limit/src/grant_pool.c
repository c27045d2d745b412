#include "grant_pool.h"

int pool_capacity(const struct grant_pool *p)
{
	return p->ledger_config_version > p->config_version ? p->ledger_capacity
							    : p->capacity;
}

int pool_usable_tokens(const struct grant_pool *p)
{
	return ledger_scale_tokens(p->row_tokens, p->row_base_capacity,
				   pool_capacity(p));
}

int pool_lent_tokens(const struct grant_pool *p, int capacity)
{
	int64_t sum = 0;

	for (int i = 0; i < GRANT_LOANS_MAX; i++) {
		const struct grant_loan *l = &p->loan[i];

		if (l->state == GRANT_LOAN_LENT)
			sum += ((int64_t)l->tokens * capacity +
				l->base_capacity - 1) /
			       l->base_capacity;
	}
	return (int)sum;
}

/* Tokens borrowed, within the current capacity. Loans being returned cover
 * running requests but allow no new ones. */
static int borrowed_tokens(const struct grant_pool *p, int with_returning)
{
	int sum = 0;

	for (int i = 0; i < GRANT_LOANS_MAX; i++) {
		const struct grant_loan *l = &p->loan[i];

		if (l->state == GRANT_LOAN_BORROWED ||
		    (with_returning && l->state == GRANT_LOAN_RETURNING))
			sum += ledger_scale_tokens(l->tokens, l->base_capacity,
						   pool_capacity(p));
	}
	return sum;
}

int pool_required_tokens(const struct grant_pool *p, int capacity)
{
	int running = (int)limit_semaphore_in_use(p->semaphore) -
		      borrowed_tokens(p, 1);

	return pool_lent_tokens(p, capacity) + (running > 0 ? running : 0);
}

void pool_resize_semaphore(struct grant_pool *p)
{
	int usable = pool_usable_tokens(p);
	int own = p->retained_tokens < usable ? p->retained_tokens : usable;

	own -= pool_lent_tokens(p, pool_capacity(p));
	if (own < 0)
		own = 0;
	limit_semaphore_resize(p->semaphore,
			       (uint32_t)(own + borrowed_tokens(p, 0)));
}

void pool_lower_retained(struct grant_pool *p, int tokens)
{
	if (tokens < p->retained_tokens)
		p->retained_tokens = tokens;
	pool_resize_semaphore(p);
}

int pool_has_loans(const struct grant_pool *p)
{
	for (int i = 0; i < GRANT_LOANS_MAX; i++)
		if (p->loan[i].state != GRANT_LOAN_NONE)
			return 1;
	return 0;
}
