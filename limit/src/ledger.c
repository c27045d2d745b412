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
	l->npool = 0;
}

struct ledger_pool *ledger_pool(struct ledger *l, const char *region)
{
	struct ledger_pool *p;

	for (int i = 0; i < l->npool; i++)
		if (!strcmp(l->pool[i].region, region))
			return &l->pool[i];
	if (l->npool == LEDGER_POOLS_MAX)
		return NULL;
	p = &l->pool[l->npool++];
	memset(p, 0, sizeof(*p));
	snprintf(p->region, sizeof(p->region), "%s", region);
	return p;
}

struct ledger_row *ledger_row(const struct ledger_pool *p, const char *vm)
{
	for (int i = 0; i < p->nrow; i++)
		if (!strcmp(p->row[i].vm, vm))
			return &p->row[i];
	return NULL;
}

int ledger_sum(const struct ledger_pool *p)
{
	int sum = 0;

	for (int i = 0; i < p->nrow; i++)
		sum += p->row[i].tokens;
	return sum;
}

void ledger_drop(struct ledger_pool *p, const char *vm)
{
	struct ledger_row *row = ledger_row(p, vm);

	if (!row)
		return;
	p->nrow--;
	memmove(row, &p->row[p->nrow], sizeof(*row));
}

static struct ledger_row *add_row(struct ledger_pool *p, const char *vm)
{
	struct ledger_row *bigger;
	int room = p->room ? p->room * 2 : 16;

	if (p->nrow == p->room) {
		bigger = realloc(p->row, (size_t)room * sizeof(*bigger));
		if (!bigger)
			return NULL;
		p->row = bigger;
		p->room = room;
	}
	memset(&p->row[p->nrow], 0, sizeof(*p->row));
	snprintf(p->row[p->nrow].vm, LEDGER_NAME_MAX, "%s", vm);
	return &p->row[p->nrow++];
}

enum prl_code ledger_set(struct ledger_pool *p, const char *vm,
			 int64_t incarnation, int tokens, struct prl_error *err)
{
	struct ledger_row *row = ledger_row(p, vm);
	int others = ledger_sum(p) - (row ? row->tokens : 0);

	if (tokens < 0 || others + tokens > p->capacity)
		return prl_fail(err, PRL_E_LIMIT,
				"region \"%s\": %d tokens for \"%s\" and %d "
				"of others exceed the capacity of %d",
				p->region, tokens, vm, others, p->capacity);
	if (!tokens) {
		ledger_drop(p, vm);
		return PRL_OK;
	}
	if (!row)
		row = add_row(p, vm);
	if (!row)
		return prl_fail(err, PRL_E_MEMORY, "ledger row of \"%s\"", vm);
	row->incarnation = incarnation;
	row->tokens = tokens;
	return PRL_OK;
}

int ledger_scaled(int tokens, int ledger_capacity, int capacity)
{
	if (capacity >= ledger_capacity || ledger_capacity <= 0)
		return tokens;
	return (int)((int64_t)tokens * capacity / ledger_capacity);
}

void ledger_resize(struct ledger_pool *p, int capacity)
{
	int before = p->capacity;

	p->capacity = capacity;
	for (int i = 0; i < p->nrow; i++)
		p->row[i].tokens =
			ledger_scaled(p->row[i].tokens, before, capacity);
}
