/* Requests that were answered lately, in a table without locks: what two
 * threads note at the same time may be lost. */
#include <primroselead/quarantine.h>

/* Time in s for which an answer speaks for a request, and in which several
 * upstreams may end together, against all of which it speaks. */
#define ANSWERED_S 10
#define TOGETHER_S 2

#define MS_PER_S 1000

/* Parts of a slot: of the digest, whether the answer has spoken already, and
 * when it came or first spoke, in s. */
#define TAG_SHIFT 32
#define HAS_SPOKEN ((uint64_t)1 << 31)
#define TIME_MASK (HAS_SPOKEN - 1)

static _Atomic uint64_t *slot_of(struct quarantine_answers *a,
				 const struct prl_hash128 *digest)
{
	return &a->slot[digest->low % QUARANTINE_ANSWERS_MAX];
}

static uint64_t make_slot(const struct prl_hash128 *digest, int64_t now)
{
	uint64_t seconds = (uint64_t)(now / MS_PER_S) & TIME_MASK;

	return digest->high >> TAG_SHIFT << TAG_SHIFT | seconds;
}

static uint64_t age_s(uint64_t slot, int64_t now)
{
	return ((uint64_t)(now / MS_PER_S) - slot) & TIME_MASK;
}

void quarantine_answers_note(struct quarantine_answers *a,
			     const struct prl_hash128 *digest, int64_t now)
{
	atomic_store_explicit(slot_of(a, digest), make_slot(digest, now),
			      memory_order_relaxed);
}

int quarantine_answers_speak(struct quarantine_answers *a,
			     const struct prl_hash128 *digest, int64_t now)
{
	_Atomic uint64_t *slot = slot_of(a, digest);
	uint64_t value = atomic_load_explicit(slot, memory_order_relaxed);
	uint64_t new = make_slot(digest, now) | HAS_SPOKEN;

	if (!value || value >> TAG_SHIFT != digest->high >> TAG_SHIFT)
		return 0;
	if (value & HAS_SPOKEN)
		return age_s(value, now) <= TOGETHER_S;
	if (age_s(value, now) > ANSWERED_S)
		return 0;
	atomic_store_explicit(slot, new, memory_order_relaxed);
	return 1;
}
