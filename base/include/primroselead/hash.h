#ifndef PRIMROSELEAD_HASH_H
#define PRIMROSELEAD_HASH_H

#include <stddef.h>
#include <stdint.h>

/** A 128-bit hash; names a request key. */
struct prl_hash128 {
	uint64_t high;
	uint64_t low;
};

/** 64-bit hash of a byte string. */
uint64_t prl_hash64(const void *data, size_t len, uint64_t seed);

/** 64-bit hash of a string up to its end. */
uint64_t prl_hash_name(const char *name);

/** 128-bit hash of a byte string. */
struct prl_hash128 prl_hash128(const void *data, size_t len);

/** Hash of two hashes; the order of the two matters. */
uint64_t prl_hash_pair(uint64_t a, uint64_t b);

#endif
