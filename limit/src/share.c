#include <primroselead/share.h>

#define WHOLE 1000
#define CREDIT_MAX (LIMIT_SHARE_DEPTH * WHOLE)

void limit_share_init(struct limit_share *s)
{
	atomic_init(&s->credit, 0);
}

void limit_share_count(struct limit_share *s, int permille)
{
	int64_t have = atomic_load(&s->credit);
	int64_t want;

	do {
		want = have + permille;
		if (want > CREDIT_MAX)
			want = CREDIT_MAX;
	} while (!atomic_compare_exchange_weak(&s->credit, &have, want));
}

int limit_share_take(struct limit_share *s)
{
	int64_t have = atomic_load(&s->credit);

	do {
		if (have < WHOLE)
			return 0;
	} while (
		!atomic_compare_exchange_weak(&s->credit, &have, have - WHOLE));
	return 1;
}

void limit_share_reset(struct limit_share *s)
{
	atomic_store(&s->credit, 0);
}
