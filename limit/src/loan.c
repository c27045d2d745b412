#include "grant_pool.h"
#include <stdio.h>
#include <string.h>

/* Time before the end of its term from which a loan is used for no new request,
 * in milliseconds, so that the requests that use it can end. */
#define RETURN_AHEAD_MS 3000

/* A lender keeps 1 / REMOTE_RESERVE_DIVISOR of its tokens back from loans to
 * VMs of other regions. */
#define REMOTE_RESERVE_DIVISOR 4

static struct grant_pool *find_pool(struct grant_set *g, const char *name)
{
	for (int i = 0; i < g->npool; i++)
		if (!strcmp(g->pool[i].name, name))
			return &g->pool[i];
	return NULL;
}

static struct grant_loan *find_loan(struct grant_pool *p,
				    enum grant_loan_state state, uint64_t id)
{
	for (int i = 0; i < GRANT_LOANS_MAX; i++)
		if (p->loan[i].state == state && p->loan[i].id == id)
			return &p->loan[i];
	return NULL;
}

static struct grant_loan *find_free_loan(struct grant_pool *p)
{
	for (int i = 0; i < GRANT_LOANS_MAX; i++)
		if (p->loan[i].state == GRANT_LOAN_NONE)
			return &p->loan[i];
	return NULL;
}

static void set_loan(struct grant_loan *l, enum grant_loan_state state,
		     const struct grant_loan_terms *t, int64_t expires_ms)
{
	memset(l, 0, sizeof(*l));
	l->state = state;
	l->id = t->id;
	l->tokens = t->tokens;
	l->base_capacity = t->base_capacity;
	l->expires_ms = expires_ms;
	snprintf(l->peer, sizeof(l->peer), "%s", t->peer);
}

/* Tokens to lend: half of the free ones, so that the lender need not borrow
 * itself soon. A VM of another region gets only tokens that the pool's own
 * region is unlikely to need soon. */
static int lendable_tokens(const struct grant_pool *p, int is_remote)
{
	int size = (int)limit_semaphore_size(p->semaphore);
	int in_use = (int)limit_semaphore_in_use(p->semaphore);
	int own = p->retained_tokens - pool_lent_tokens(p, pool_capacity(p));
	int spare =
		size - in_use - (is_remote ? size / REMOTE_RESERVE_DIVISOR : 0);
	int half = spare > 0 ? (spare + 1) / 2 : 0;

	if (own < 0)
		own = 0;
	return half < own ? half : own;
}

void grant_lend(struct grant_set *g, struct grant_loan_terms *t,
		int64_t expires_ms)
{
	struct grant_pool *p = find_pool(g, t->pool_name);
	struct grant_loan *l = p ? find_loan(p, GRANT_LOAN_LENT, t->id) : NULL;
	int want = t->tokens;

	t->tokens = 0;
	t->base_capacity = 1;
	if (l) {
		t->tokens = l->tokens;
		t->base_capacity = l->base_capacity;
		return;
	}
	l = p ? find_free_loan(p) : NULL;
	if (!l || g->leaving || pool_capacity(p) <= 0)
		return;
	if (want > lendable_tokens(p, t->is_remote))
		want = lendable_tokens(p, t->is_remote);
	if (want <= 0)
		return;
	/* Other threads may have acquired tokens meanwhile: lends only those
	 * that are still free. */
	t->tokens = (int)limit_semaphore_shrink(p->semaphore, (uint32_t)want);
	t->base_capacity = pool_capacity(p);
	if (t->tokens)
		set_loan(l, GRANT_LOAN_LENT, t, expires_ms);
}

int grant_borrow(struct grant_set *g, const struct grant_loan_terms *t,
		 int64_t expires_ms)
{
	struct grant_pool *p = find_pool(g, t->pool_name);
	struct grant_loan *l = p ? find_free_loan(p) : NULL;

	if (!l || t->tokens <= 0 || t->base_capacity < t->tokens || g->leaving)
		return 0;
	set_loan(l, GRANT_LOAN_BORROWED, t, expires_ms);
	pool_resize_semaphore(p);
	return 1;
}

void grant_loan_returned(struct grant_set *g, const char *pool_name,
			 uint64_t id)
{
	struct grant_pool *p = find_pool(g, pool_name);
	struct grant_loan *l = p ? find_loan(p, GRANT_LOAN_LENT, id) : NULL;

	if (!l)
		return;
	l->state = GRANT_LOAN_NONE;
	pool_resize_semaphore(p);
}

/* Whether without this loan the pool would still have as many free tokens as
 * the loan has. */
static int loan_is_unneeded(const struct grant_pool *p,
			    const struct grant_loan *l)
{
	return (int)limit_semaphore_in_use(p->semaphore) + 2 * l->tokens <=
	       (int)limit_semaphore_size(p->semaphore);
}

static void start_return(struct grant_set *g, struct grant_pool *p,
			 struct grant_loan *l, int64_t now_ms)
{
	if (!g->leaving && now_ms < l->expires_ms - RETURN_AHEAD_MS &&
	    !loan_is_unneeded(p, l))
		return;
	l->state = GRANT_LOAN_RETURNING;
	pool_resize_semaphore(p);
}

/* Ends the loan and fills in its return once the remaining tokens cover all
 * running requests. Returns 1, or 0 before that. */
static int finish_return(struct grant_pool *p, struct grant_loan *l,
			 struct grant_loan_return *out)
{
	if (limit_semaphore_in_use(p->semaphore) >
	    limit_semaphore_size(p->semaphore))
		return 0;
	out->id = l->id;
	memcpy(out->pool_name, p->name, sizeof(out->pool_name));
	memcpy(out->peer, l->peer, sizeof(out->peer));
	l->state = GRANT_LOAN_NONE;
	return 1;
}

/* "out" is NULL if no return can be reported now. */
static int update_loan(struct grant_set *g, struct grant_pool *p,
		       struct grant_loan *l, int64_t now_ms,
		       struct grant_loan_return *out)
{
	switch (l->state) {
	case GRANT_LOAN_NONE:
		return 0;
	case GRANT_LOAN_LENT:
		if (now_ms < l->expires_ms)
			return 0;
		l->state = GRANT_LOAN_NONE;
		pool_resize_semaphore(p);
		return 0;
	case GRANT_LOAN_BORROWED:
		start_return(g, p, l, now_ms);
		return 0;
	case GRANT_LOAN_RETURNING:
		/* Not reported: the lender reclaims the loan by itself, after
		 * the requests that still use it have ended. */
		if (now_ms >= l->expires_ms) {
			l->state = GRANT_LOAN_NONE;
			return 0;
		}
		return out ? finish_return(p, l, out) : 0;
	}
	return 0;
}

int grant_update_loans(struct grant_set *g, int64_t now_ms,
		       struct grant_loan_return *out, int max)
{
	int n = 0;

	for (int i = 0; i < g->npool; i++)
		for (int k = 0; k < GRANT_LOANS_MAX; k++)
			n += update_loan(g, &g->pool[i], &g->pool[i].loan[k],
					 now_ms, n < max ? &out[n] : NULL);
	return n;
}

const char *grant_choose_lender(struct grant_set *g, const char *pool_name,
				uint64_t random)
{
	const struct ledger_pool *lp = ledger_get_pool(&g->ledger, pool_name);

	if (!lp || !lp->nrow)
		return NULL;
	for (int k = 0; k < lp->nrow; k++) {
		int i = (int)((random + (uint64_t)k) % (uint64_t)lp->nrow);

		if (strcmp(lp->row[i].vm, g->vm) != 0)
			return lp->row[i].vm;
	}
	return NULL;
}
