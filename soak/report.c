#include "soak.h"
#include <stdarg.h>
#include <stdio.h>

static const char *const promise_names[] = {
	[SOAK_NONE] = "",
	[SOAK_OWN_ANSWER] = "an answer is that to another request",
	[SOAK_STAMP] = "an answer is without its upstream's stamp",
	[SOAK_STATUS] = "an answer has a status that no upstream gave",
	[SOAK_WHOLE_ANSWER] = "an answer is not whole",
	[SOAK_ONCE] = "a request ran twice",
	[SOAK_NOT_RUN] = "a request ran that was said not to have run",
	[SOAK_PLANNED_STOP] = "a planned stop cut a request",
	[SOAK_LEFT] = "an upstream that left got a request",
	[SOAK_LEFT_RESTART] =
		"an upstream that left got a request after a restart",
	[SOAK_LEASE] = "a VM used what it knew from before a pause",
	[SOAK_GONE] = "a request ran after a pause though its caller had gone",
	[SOAK_LINKS] = "callers of VMs without links are not served",
	[SOAK_RECOVERY] = "requests are not served after the last fault",
	[SOAK_QUARANTINE] =
		("a request that ends upstreams reached more than three when "
		 "all VMs had to know"),
	[SOAK_INNOCENT] = "a request is in quarantine that ends no upstream",
	[SOAK_ENDED] = "a VM that handles signals ended at a SIGHUP",
	[SOAK_NO_KEY] =
		"a request with a key of nobody was not refused as such",
	[SOAK_KEY_TAKEN] = "a key that was taken away is not refused",
	[SOAK_KEY_GIVEN] = "a key that is given is refused",
	[SOAK_UNFINISHED] = "a request was served whose body never came",
	[SOAK_QUOTA] = "more requests of a workspace ran than its quota allows",
};

static int checked[SOAK_PROMISES];
static int broken[SOAK_PROMISES];

void soak_count_check(enum soak_promise promise)
{
	checked[promise]++;
}

void soak_report(const struct soak *s, enum soak_promise promise,
		 const char *format, ...)
{
	char text[300];
	va_list ap;

	broken[promise]++;
	va_start(ap, format);
	vsnprintf(text, sizeof(text), format, ap);
	va_end(ap);
	printf("BROKEN: %s: %s; again by: make soak SEED=%llu DURATION_S=%d "
	       "VMS=%d\n",
	       promise_names[promise], text,
	       (unsigned long long)s->options.seed, s->options.duration_s,
	       s->options.vms);
}

int soak_print_promises(void)
{
	int n = 0;

	for (int i = SOAK_NONE + 1; i < SOAK_PROMISES; i++) {
		printf("checked %d, broken %d: %s\n", checked[i], broken[i],
		       promise_names[i]);
		n += broken[i];
	}
	printf("broken promises: %d\n", n);
	return n;
}
