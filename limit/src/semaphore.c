#include <primroselead/semaphore.h>

#define SIZE(s) ((uint32_t)((s) >> 32))
#define IN_USE(s) ((uint32_t)(s))
#define SIZE_ONE (UINT64_C(1) << 32)

void limit_semaphore_init(struct limit_semaphore *h)
{
	atomic_init(&h->state, 0);
	atomic_init(&h->refused, 0);
	atomic_init(&h->more_requested, 0);
}

int limit_semaphore_acquire(struct limit_semaphore *h)
{
	uint64_t s = atomic_load(&h->state);

	do {
		if (IN_USE(s) >= SIZE(s)) {
			atomic_fetch_add(&h->refused, 1);
			return 0;
		}
	} while (!atomic_compare_exchange_weak(&h->state, &s, s + 1));
	return 1;
}

void limit_semaphore_release(struct limit_semaphore *h)
{
	atomic_fetch_sub(&h->state, 1);
}

void limit_semaphore_resize(struct limit_semaphore *h, uint32_t n)
{
	uint64_t s = atomic_load(&h->state);

	/* Requests come and go between the load and the exchange. */
	while (!atomic_compare_exchange_weak(&h->state, &s,
					     n * SIZE_ONE + IN_USE(s)))
		;
}

uint32_t limit_semaphore_shrink(struct limit_semaphore *h, uint32_t n)
{
	uint64_t s = atomic_load(&h->state);
	uint32_t cut;

	/* A request may be admitted between the load and the exchange. */
	do {
		uint32_t unused = SIZE(s) > IN_USE(s) ? SIZE(s) - IN_USE(s) : 0;

		cut = n < unused ? n : unused;
	} while (cut && !atomic_compare_exchange_weak(&h->state, &s,
						      s - cut * SIZE_ONE));
	return cut;
}

uint32_t limit_semaphore_size(const struct limit_semaphore *h)
{
	return SIZE(atomic_load(&h->state));
}

uint32_t limit_semaphore_in_use(const struct limit_semaphore *h)
{
	return IN_USE(atomic_load(&h->state));
}
