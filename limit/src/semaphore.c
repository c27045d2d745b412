#include <primroselead/semaphore.h>

#define SIZE(s) ((uint32_t)((s) >> 32))
#define IN_USE(s) ((uint32_t)(s))
#define SIZE_ONE (UINT64_C(1) << 32)

void limit_semaphore_init(struct limit_semaphore *s)
{
	atomic_init(&s->state, 0);
	atomic_init(&s->refused, 0);
	atomic_init(&s->more_requested, 0);
}

int limit_semaphore_acquire(struct limit_semaphore *s)
{
	uint64_t state = atomic_load(&s->state);

	do {
		if (IN_USE(state) >= SIZE(state)) {
			atomic_fetch_add(&s->refused, 1);
			return 0;
		}
	} while (!atomic_compare_exchange_weak(&s->state, &state, state + 1));
	return 1;
}

void limit_semaphore_release(struct limit_semaphore *s)
{
	atomic_fetch_sub(&s->state, 1);
}

void limit_semaphore_resize(struct limit_semaphore *s, uint32_t n)
{
	uint64_t state = atomic_load(&s->state);

	/* Other threads may change the count between load and exchange. */
	while (!atomic_compare_exchange_weak(&s->state, &state,
					     n * SIZE_ONE + IN_USE(state)))
		;
}

uint32_t limit_semaphore_shrink(struct limit_semaphore *s, uint32_t n)
{
	uint64_t state = atomic_load(&s->state);
	uint32_t reduction;

	/* Other threads may change the count between load and exchange. */
	do {
		uint32_t idle = SIZE(state) > IN_USE(state)
					? SIZE(state) - IN_USE(state)
					: 0;

		reduction = n < idle ? n : idle;
	} while (reduction &&
		 !atomic_compare_exchange_weak(&s->state, &state,
					       state - reduction * SIZE_ONE));
	return reduction;
}

uint32_t limit_semaphore_size(const struct limit_semaphore *s)
{
	return SIZE(atomic_load(&s->state));
}

uint32_t limit_semaphore_in_use(const struct limit_semaphore *s)
{
	return IN_USE(atomic_load(&s->state));
}
