#include <primroselead/backoff.h>

int64_t prl_backoff(int64_t initial, int64_t max, int doublings)
{
	int64_t delay = initial;

	for (int i = 0; i < doublings && delay < max; i++)
		delay *= 2;
	return delay < max ? delay : max;
}

int64_t prl_jitter(int64_t delay, uint64_t random)
{
	return delay / 2 + (int64_t)(random % (uint64_t)delay);
}
