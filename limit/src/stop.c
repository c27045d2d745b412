#include <primroselead/stop.h>

/* Part of the grace time that is kept for the answers to requests that are
 * still open at its end, and for the end of the process, in ms. */
#define STOP_MARGIN_MS 600

int64_t limit_stop_end(int64_t signal_ms, int64_t grace_ms)
{
	if (grace_ms < STOP_MARGIN_MS)
		return signal_ms;
	return signal_ms + grace_ms - STOP_MARGIN_MS;
}

int limit_stop_admits(int64_t end_ms, int64_t deadline_ms)
{
	return deadline_ms <= end_ms;
}
