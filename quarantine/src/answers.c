/* Requests that were answered lately, in a table without locks: what two
 * threads note at the same time may be lost. */
#include <primroselead/quarantine.h>

/* Time in s for which an answer speaks for a request. */
#define ANSWERED_S 10

#define MS_PER_S 1000
#define TIME_BITS 32

static _Atomic uint64_t *slot_of(struct quarantine_answers *a,
				 const struct prl_hash128 *digest)
{
	return &a->slot[digest->low % QUARANTINE_ANSWERS_MAX];
}

static uint64_t tag_of(const struct prl_hash128 *digest)
{
	return digest->high >> TIME_BITS;
}

void quarantine_answers_note(struct quarantine_answers *a,
			     const struct prl_hash128 *digest, int64_t now)
{
	uint64_t seconds = (uint32_t)(now / MS_PER_S);

	atomic_store_explicit(slot_of(a, digest),
			      tag_of(digest) << TIME_BITS | seconds,
			      memory_order_relaxed);
}

int quarantine_answers_take(struct quarantine_answers *a,
			    const struct prl_hash128 *digest, int64_t now)
{
	_Atomic uint64_t *slot = slot_of(a, digest);
	uint64_t value = atomic_load_explicit(slot, memory_order_relaxed);
	uint32_t age_s = (uint32_t)(now / MS_PER_S) - (uint32_t)value;

	if (!value || value >> TIME_BITS != tag_of(digest) ||
	    age_s > ANSWERED_S)
		return 0;
	atomic_store_explicit(slot, 0, memory_order_relaxed);
	return 1;
}
