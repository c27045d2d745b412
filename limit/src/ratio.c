#include "credit.h"
#include <primroselead/ratio.h>

#define MILLI 1000
#define CREDIT_MAX_MILLI (LIMIT_RATIO_BURST * MILLI)

void limit_ratio_init(struct limit_ratio *r)
{
	atomic_init(&r->credit_milli, 0);
}

void limit_ratio_deposit(struct limit_ratio *r, int permille)
{
	credit_add(&r->credit_milli, permille, CREDIT_MAX_MILLI);
}

int limit_ratio_withdraw(struct limit_ratio *r)
{
	int64_t credit = atomic_load(&r->credit_milli);

	do {
		if (credit < MILLI)
			return 0;
	} while (!atomic_compare_exchange_weak(&r->credit_milli, &credit,
					       credit - MILLI));
	return 1;
}

void limit_ratio_reset(struct limit_ratio *r)
{
	atomic_store(&r->credit_milli, 0);
}
