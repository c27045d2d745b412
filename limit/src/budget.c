#include <primroselead/budget.h>

#define WHOLE 1000
#define US_PER_S 1000000

void limit_budget_set(struct limit_budget *b, int64_t most)
{
	int64_t more = most * WHOLE - b->most;

	/* What the constant part grows by is at hand at once. */
	if (more > 0)
		b->credit += more;
	b->most = most * WHOLE;
	if (b->credit > b->most)
		b->credit = b->most;
}

void limit_budget_count(struct limit_budget *b, int64_t permille)
{
	b->credit += permille;
	if (b->credit > b->most)
		b->credit = b->most;
}

int limit_budget_take(struct limit_budget *b)
{
	if (b->credit < WHOLE)
		return 0;
	b->credit -= WHOLE;
	return 1;
}

int limit_rate_open(const struct limit_rate *r, int64_t now_us)
{
	return now_us >= r->next_us;
}

void limit_rate_count(struct limit_rate *r, int64_t rate, int64_t now_us)
{
	int64_t from = r->next_us > now_us ? r->next_us : now_us;

	r->next_us = rate > 0 ? from + US_PER_S * WHOLE / rate : INT64_MAX;
}
