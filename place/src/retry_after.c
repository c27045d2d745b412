#include <primroselead/clock.h>
#include <primroselead/place.h>

/* Bounds of the time after which a refused caller may retry, in ms. */
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 1000

int64_t place_retry_after(int64_t wait_ms, uint64_t random)
{
	int64_t ms = wait_ms;

	if (ms < RETRY_MIN_MS)
		ms = RETRY_MIN_MS;
	if (ms > RETRY_MAX_MS / 2)
		ms = RETRY_MAX_MS / 2;
	return ms + (int64_t)(random % (uint64_t)ms);
}
