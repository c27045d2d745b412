#ifndef PRIMROSELEAD_SEMAPHORE_H
#define PRIMROSELEAD_SEMAPHORE_H

#include <stdatomic.h>
#include <stdint.h>

/**
 * Capacity of one region that this process holds, in requests at once. Any
 * thread may take and give back; the control thread alone changes how much
 * there is. It may set less than is in use: then nothing more is taken until
 * enough has been given back.
 */
struct limit_semaphore {
	/** Held in the upper half, in use in the lower half. */
	_Atomic uint64_t state;
	/** Requests that found nothing free; for the choice of new amounts. */
	_Atomic uint64_t refused;
	/** The control thread has been asked for more and not looked yet. */
	_Atomic int more_requested;
};

/** Starts with nothing held. */
void limit_semaphore_init(struct limit_semaphore *h);

/** Takes a place for one request. Returns 1, or 0 if none is free. */
int limit_semaphore_acquire(struct limit_semaphore *h);

/** Gives a place back. */
void limit_semaphore_release(struct limit_semaphore *h);

/** Sets what is held. */
void limit_semaphore_resize(struct limit_semaphore *h, uint32_t n);

/** Lowers what is held by at most n, as far as it is free; returns by how
 * much. */
uint32_t limit_semaphore_shrink(struct limit_semaphore *h, uint32_t n);

/** What is held. */
uint32_t limit_semaphore_size(const struct limit_semaphore *h);

/** What is in use. */
uint32_t limit_semaphore_in_use(const struct limit_semaphore *h);

#endif
