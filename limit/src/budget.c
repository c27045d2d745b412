#include <primroselead/budget.h>

#define MILLI 1000
#define US_PER_S 1000000

void limit_budget_set_burst(struct limit_budget *b, int64_t most)
{
	int64_t more = most * MILLI - b->burst_milli;

	/* What the constant part grows by is at hand at once. */
	if (more > 0)
		b->credit_milli += more;
	b->burst_milli = most * MILLI;
	if (b->credit_milli > b->burst_milli)
		b->credit_milli = b->burst_milli;
}

void limit_budget_deposit(struct limit_budget *b, int64_t permille)
{
	b->credit_milli += permille;
	if (b->credit_milli > b->burst_milli)
		b->credit_milli = b->burst_milli;
}

int limit_budget_withdraw(struct limit_budget *b)
{
	if (b->credit_milli < MILLI)
		return 0;
	b->credit_milli -= MILLI;
	return 1;
}

int limit_rate_allows(const struct limit_rate *r, int64_t now_us)
{
	return now_us >= r->next_us;
}

void limit_rate_record(struct limit_rate *r, int64_t rate, int64_t now_us)
{
	int64_t from = r->next_us > now_us ? r->next_us : now_us;

	r->next_us = rate > 0 ? from + US_PER_S * MILLI / rate : INT64_MAX;
}
