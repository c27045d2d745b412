#include "ledger_row.h"
#include <primroselead/ledger.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void ledger_init(struct ledger *l)
{
	memset(l, 0, sizeof(*l));
}

void ledger_finish(struct ledger *l)
{
	for (int i = 0; i < l->npool; i++)
		free(l->pool[i].row);
	free(l->pool);
	ledger_init(l);
}

static enum prl_code grow_pools(struct ledger *l)
{
	int alloc = l->pool_alloc ? l->pool_alloc * 2 : 4;
	struct ledger_pool *bigger;

	if (l->npool == LEDGER_POOLS_MAX)
		return PRL_E_LIMIT;
	bigger = realloc(l->pool, (size_t)alloc * sizeof(*bigger));
	if (!bigger)
		return PRL_E_MEMORY;
	l->pool = bigger;
	l->pool_alloc = alloc;
	return PRL_OK;
}

struct ledger_pool *ledger_get_pool(struct ledger *l, const char *name)
{
	struct ledger_pool *p;

	for (int i = 0; i < l->npool; i++)
		if (!strcmp(l->pool[i].name, name))
			return &l->pool[i];
	if (l->npool == l->pool_alloc && grow_pools(l))
		return NULL;
	p = &l->pool[l->npool++];
	memset(p, 0, sizeof(*p));
	snprintf(p->name, sizeof(p->name), "%s", name);
	return p;
}

struct ledger_row *ledger_find_row(const struct ledger_pool *p, const char *vm,
				   int64_t incarnation)
{
	for (int i = 0; i < p->nrow; i++)
		if (p->row[i].incarnation == incarnation &&
		    !strcmp(p->row[i].vm, vm))
			return &p->row[i];
	return NULL;
}

/* A row's share of the pool's capacity, in tokens, rounded up so that the sum
 * over all rows is never too low. */
static int64_t row_share(const struct ledger_pool *p,
			 const struct ledger_row *r)
{
	int64_t product = (int64_t)r->tokens * p->capacity;

	return (product + r->base_capacity - 1) / r->base_capacity;
}

static int64_t sum_other_shares(const struct ledger_pool *p,
				const struct ledger_row *self)
{
	int64_t sum = 0;

	for (int i = 0; i < p->nrow; i++)
		if (&p->row[i] != self)
			sum += row_share(p, &p->row[i]);
	return sum;
}

int ledger_unallocated(const struct ledger_pool *p)
{
	int64_t unallocated = p->capacity - sum_other_shares(p, NULL);

	return unallocated > 0 ? (int)unallocated : 0;
}

static void remove_row(struct ledger_pool *p, int i)
{
	p->nrow--;
	if (i != p->nrow)
		p->row[i] = p->row[p->nrow];
}

int ledger_drop_rows(struct ledger_pool *p, const char *vm, int64_t before)
{
	int dropped = 0;
	int i = 0;

	while (i < p->nrow) {
		if (p->row[i].incarnation >= before ||
		    strcmp(p->row[i].vm, vm) != 0) {
			i++;
			continue;
		}
		remove_row(p, i);
		dropped++;
	}
	return dropped;
}

static struct ledger_row *add_row(struct ledger_pool *p, const char *vm,
				  int64_t incarnation)
{
	struct ledger_row *bigger;
	struct ledger_row *row;
	int alloc = p->row_alloc ? p->row_alloc * 2 : 16;

	if (p->nrow == p->row_alloc) {
		bigger = realloc(p->row, (size_t)alloc * sizeof(*bigger));
		if (!bigger)
			return NULL;
		p->row = bigger;
		p->row_alloc = alloc;
	}
	row = &p->row[p->nrow++];
	memset(row, 0, sizeof(*row));
	snprintf(row->vm, sizeof(row->vm), "%s", vm);
	row->incarnation = incarnation;
	return row;
}

enum prl_code ledger_append_row(struct ledger_pool *p,
				const struct ledger_row *row,
				struct prl_error *err)
{
	struct ledger_row *copy = add_row(p, row->vm, row->incarnation);

	if (!copy)
		return prl_error_set(err, PRL_E_MEMORY,
				     "ledger row of VM \"%s\": out of memory",
				     row->vm);
	copy->tokens = row->tokens;
	copy->base_capacity = row->base_capacity;
	return PRL_OK;
}

enum prl_code ledger_set_row(struct ledger_pool *p, const char *vm,
			     int64_t incarnation, int tokens,
			     struct prl_error *err)
{
	struct ledger_row *row = ledger_find_row(p, vm, incarnation);
	int64_t others = sum_other_shares(p, row);

	if (!tokens) {
		if (row)
			remove_row(p, (int)(row - p->row));
		return PRL_OK;
	}
	if (tokens < 0 || others + tokens > p->capacity)
		return prl_error_set(
			err, PRL_E_LIMIT,
			"ledger pool \"%s\": %d tokens of VM \"%s\" and "
			"%lld of other rows exceed the capacity of %d",
			p->name, tokens, vm, (long long)others, p->capacity);
	if (!row)
		row = add_row(p, vm, incarnation);
	if (!row)
		return prl_error_set(err, PRL_E_MEMORY,
				     "ledger row of VM \"%s\": out of memory",
				     vm);
	row->tokens = tokens;
	row->base_capacity = p->capacity;
	return PRL_OK;
}

int ledger_scale_tokens(int tokens, int base_capacity, int capacity)
{
	if (capacity >= base_capacity || base_capacity <= 0)
		return tokens;
	return (int)((int64_t)tokens * capacity / base_capacity);
}
