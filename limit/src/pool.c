#include "pool.h"

int pool_capacity(const struct grant_pool *p)
{
	return p->ledger_config > p->config ? p->ledger_capacity : p->capacity;
}

int pool_allowed(const struct grant_pool *p)
{
	return ledger_scaled(p->row, p->base, pool_capacity(p));
}

int pool_lent(const struct grant_pool *p, int capacity)
{
	int64_t sum = 0;

	for (int i = 0; i < GRANT_LOANS_MAX; i++) {
		const struct grant_loan *l = &p->loan[i];

		if (l->state == GRANT_LOAN_LENT)
			sum += ((int64_t)l->tokens * capacity + l->base - 1) /
			       l->base;
	}
	return (int)sum;
}

/* Tokens borrowed, as the capacity allows them; those on their way back count
 * only for what is still running. */
static int borrowed(const struct grant_pool *p, int with_returning)
{
	int sum = 0;

	for (int i = 0; i < GRANT_LOANS_MAX; i++) {
		const struct grant_loan *l = &p->loan[i];

		if (l->state == GRANT_LOAN_BORROWED ||
		    (with_returning && l->state == GRANT_LOAN_RETURNING))
			sum += ledger_scaled(l->tokens, l->base,
					     pool_capacity(p));
	}
	return sum;
}

int pool_needed(const struct grant_pool *p, int capacity)
{
	int running = (int)limit_hold_used(p->hold) - borrowed(p, 1);

	return pool_lent(p, capacity) + (running > 0 ? running : 0);
}

void pool_refresh(struct grant_pool *p)
{
	int allowed = pool_allowed(p);
	int own = p->own < allowed ? p->own : allowed;

	own -= pool_lent(p, pool_capacity(p));
	if (own < 0)
		own = 0;
	limit_hold_set(p->hold, (uint32_t)(own + borrowed(p, 0)));
}

void pool_lower(struct grant_pool *p, int to)
{
	if (to < p->own)
		p->own = to;
	pool_refresh(p);
}

int pool_has_loans(const struct grant_pool *p)
{
	for (int i = 0; i < GRANT_LOANS_MAX; i++)
		if (p->loan[i].state != GRANT_LOAN_NONE)
			return 1;
	return 0;
}
