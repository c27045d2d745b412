#include <primroselead/budget.h>

#define MILLI 1000
#define US_PER_S 1000000

void limit_budget_set_burst(struct limit_budget *b, int64_t sends)
{
	int64_t growth_milli = sends * MILLI - b->burst_milli;

	if (growth_milli > 0)
		b->credit_milli += growth_milli;
	b->burst_milli = sends * MILLI;
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

void limit_rate_record(struct limit_rate *r, int64_t rate_milli, int64_t now_us)
{
	int64_t start_us = r->next_us > now_us ? r->next_us : now_us;

	r->next_us = rate_milli > 0 ? start_us + US_PER_S * MILLI / rate_milli
				    : INT64_MAX;
}
