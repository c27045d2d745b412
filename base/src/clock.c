#include <apr_time.h>
#include <primroselead/clock.h>
#include <time.h>

int64_t prl_now_us(void)
{
	struct timespec ts;

	/* CLOCK_MONOTONIC stops while a VM is suspended; deadlines must expire
	 * in that time, too. */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t prl_now_ms(void)
{
	return prl_now_us() / 1000;
}

int64_t prl_wall_ms(void)
{
	return apr_time_as_msec(apr_time_now());
}
