#include <primroselead/hold.h>

#define HELD(s) ((uint32_t)((s) >> 32))
#define USED(s) ((uint32_t)(s))
#define ONE_HELD (UINT64_C(1) << 32)

void limit_hold_init(struct limit_hold *h)
{
	atomic_init(&h->state, 0);
	atomic_init(&h->refused, 0);
	atomic_init(&h->asked, 0);
}

int limit_hold_take(struct limit_hold *h)
{
	uint64_t s = atomic_load(&h->state);

	do {
		if (USED(s) >= HELD(s)) {
			atomic_fetch_add(&h->refused, 1);
			return 0;
		}
	} while (!atomic_compare_exchange_weak(&h->state, &s, s + 1));
	return 1;
}

void limit_hold_give(struct limit_hold *h)
{
	atomic_fetch_sub(&h->state, 1);
}

void limit_hold_set(struct limit_hold *h, uint32_t n)
{
	uint64_t s = atomic_load(&h->state);

	/* Requests come and go between the load and the exchange. */
	while (!atomic_compare_exchange_weak(&h->state, &s,
					     n * ONE_HELD + USED(s)))
		;
}

uint32_t limit_hold_cut(struct limit_hold *h, uint32_t n)
{
	uint64_t s = atomic_load(&h->state);
	uint32_t cut;

	/* A request may be admitted between the load and the exchange. */
	do {
		uint32_t unused = HELD(s) > USED(s) ? HELD(s) - USED(s) : 0;

		cut = n < unused ? n : unused;
	} while (cut && !atomic_compare_exchange_weak(&h->state, &s,
						      s - cut * ONE_HELD));
	return cut;
}

uint32_t limit_hold_size(const struct limit_hold *h)
{
	return HELD(atomic_load(&h->state));
}

uint32_t limit_hold_used(const struct limit_hold *h)
{
	return USED(atomic_load(&h->state));
}
