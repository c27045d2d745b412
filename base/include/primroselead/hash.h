#ifndef PRIMROSELEAD_HASH_H
#define PRIMROSELEAD_HASH_H

#include <stddef.h>
#include <stdint.h>

/** A 128-bit hash or digest. */
struct prl_hash128 {
	uint64_t high;
	uint64_t low;
};

/** Returns the 64-bit XXH3 hash of a byte string. */
uint64_t prl_hash64(const void *data, size_t len, uint64_t seed);

/** Returns the 64-bit XXH3 hash of a null-terminated string, with seed 0. */
uint64_t prl_hash_string(const char *name);

/** Returns the 128-bit XXH3 hash of a byte string. */
struct prl_hash128 prl_hash128(const void *data, size_t len);

/** Returns the first half of the SHA-256 digest of a byte string, for texts
 * that callers choose or that must stay secret. */
struct prl_hash128 prl_digest(const void *data, size_t len);

/** Returns the number of the first bytes of a digest, most significant first.
 */
struct prl_hash128 prl_digest_read(const unsigned char bytes[16]);

/** Combines two hashes into one; the order of the arguments matters. */
uint64_t prl_hash_combine(uint64_t a, uint64_t b);

#endif
