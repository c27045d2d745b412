#include <primroselead/hash.h>
#include <string.h>
#include <xxhash.h>

uint64_t prl_hash64(const void *data, size_t len, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, len, seed);
}

uint64_t prl_hash_string(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

struct prl_hash128 prl_hash128(const void *data, size_t len)
{
	XXH128_hash_t h = XXH3_128bits(data, len);

	return (struct prl_hash128){.high = h.high64, .low = h.low64};
}

uint64_t prl_hash_combine(uint64_t a, uint64_t b)
{
	uint64_t both[2] = {a, b};

	return XXH3_64bits(both, sizeof(both));
}
