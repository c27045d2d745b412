#ifndef PRIMROSELEAD_SEMAPHORE_H
#define PRIMROSELEAD_SEMAPHORE_H

#include <stdatomic.h>
#include <stdint.h>

/**
 * A counting semaphore over the capacity that this process may use of one pool:
 * concurrent requests of a region, or Mbit/s of a link. Any thread may acquire
 * and release; only the control thread changes the size. The size may be set
 * below the number of units in use: acquiring then fails until enough units
 * were released.
 */
struct limit_semaphore {
	/** Size in the upper 32 bits, units in use in the lower 32 bits. */
	_Atomic uint64_t state;
	/** Failed acquisitions since the start. */
	_Atomic uint64_t refused;
	/** Set when the control thread is asked for more capacity; it clears
	 * the flag when it handles the request. */
	_Atomic int more_requested;
};

/** Starts with size 0. */
void limit_semaphore_init(struct limit_semaphore *s);

/** Acquires one unit without waiting. Returns 1, or 0 if none is free. */
int limit_semaphore_acquire(struct limit_semaphore *s);

/** Releases one unit. */
void limit_semaphore_release(struct limit_semaphore *s);

/** Sets the size. */
void limit_semaphore_resize(struct limit_semaphore *s, uint32_t n);

/** Lowers the size by at most n, and by no more than the units that are free.
 * Returns by how much. */
uint32_t limit_semaphore_shrink(struct limit_semaphore *s, uint32_t n);

/** The size. */
uint32_t limit_semaphore_size(const struct limit_semaphore *s);

/** Units in use. */
uint32_t limit_semaphore_in_use(const struct limit_semaphore *s);

#endif
