#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>

static void log_limit(const char *instance, int64_t limit_milli,
		      const char *from)
{
	char milli[LOG_NUMBER_MAX];

	log_format_number(milli, limit_milli);
	log_event(LOG_LEVEL_AUDIT, "limit", "instance", instance, "state",
		  limit_milli < 0 ? "off" : "on", "limit_milli", milli, "from",
		  from, NULL);
}

void rate_limits_handle_local(void *ctx, void *item)
{
	struct proxy_rate_limit *limit = item;

	(void)ctx;
	log_limit(limit->instance, limit->limit_milli, "upstream");
	g_free(limit);
}
