#include <primroselead/ratio.h>

#define MILLI 1000
#define CREDIT_MAX (LIMIT_RATIO_BURST * MILLI)

void limit_ratio_init(struct limit_ratio *s)
{
	atomic_init(&s->credit_milli, 0);
}

void limit_ratio_deposit(struct limit_ratio *s, int permille)
{
	int64_t have = atomic_load(&s->credit_milli);
	int64_t want;

	do {
		want = have + permille;
		if (want > CREDIT_MAX)
			want = CREDIT_MAX;
	} while (!atomic_compare_exchange_weak(&s->credit_milli, &have, want));
}

int limit_ratio_withdraw(struct limit_ratio *s)
{
	int64_t have = atomic_load(&s->credit_milli);

	do {
		if (have < MILLI)
			return 0;
	} while (!atomic_compare_exchange_weak(&s->credit_milli, &have,
					       have - MILLI));
	return 1;
}

void limit_ratio_reset(struct limit_ratio *s)
{
	atomic_store(&s->credit_milli, 0);
}
