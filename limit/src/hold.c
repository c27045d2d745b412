#include <primroselead/hold.h>

#define HELD(s) ((uint32_t)((s) >> 32))
#define USED(s) ((uint32_t)(s))
#define ONE_HELD (UINT64_C(1) << 32)

void limit_hold_init(struct limit_hold *h)
{
	atomic_init(&h->state, 0);
	atomic_init(&h->refused, 0);
	atomic_init(&h->peak, 0);
}

static void note_peak(struct limit_hold *h, uint32_t used)
{
	uint32_t peak = atomic_load_explicit(&h->peak, memory_order_relaxed);

	while (used > peak)
		if (atomic_compare_exchange_weak(&h->peak, &peak, used))
			return;
}

int limit_hold_take(struct limit_hold *h, uint32_t reserve)
{
	uint64_t s = atomic_load(&h->state);

	do {
		if (USED(s) + reserve >= HELD(s)) {
			atomic_fetch_add(&h->refused, 1);
			return 0;
		}
	} while (!atomic_compare_exchange_weak(&h->state, &s, s + 1));
	note_peak(h, USED(s) + 1);
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

uint32_t limit_hold_size(const struct limit_hold *h)
{
	return HELD(atomic_load(&h->state));
}

uint32_t limit_hold_used(const struct limit_hold *h)
{
	return USED(atomic_load(&h->state));
}

uint32_t limit_hold_peak(struct limit_hold *h)
{
	return atomic_exchange(&h->peak, limit_hold_used(h));
}
