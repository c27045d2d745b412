#include <primroselead/backoff.h>

int64_t prl_backoff(int64_t shortest, int64_t longest, int times)
{
	int64_t pause = shortest;

	for (int i = 0; i < times && pause < longest; i++)
		pause *= 2;
	return pause < longest ? pause : longest;
}

int64_t prl_jitter(int64_t pause, uint64_t random)
{
	return pause / 2 + (int64_t)(random % (uint64_t)pause);
}
