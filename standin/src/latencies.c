#include "latencies.h"
#include <stdlib.h>

#define LATENCIES_MAX 2000000

int latencies_init(struct latencies *l)
{
	l->n = 0;
	l->us = malloc(sizeof(*l->us) * LATENCIES_MAX);
	return l->us ? 0 : -1;
}

void latencies_add(struct latencies *l, int64_t us)
{
	if (l->n < LATENCIES_MAX)
		l->us[l->n++] = (uint32_t)us;
}

static int by_value(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

void latencies_sort(struct latencies *l)
{
	qsort(l->us, l->n, sizeof(*l->us), by_value);
}

uint32_t latencies_quantile(const struct latencies *l, double share)
{
	if (!l->n)
		return 0;
	return l->us[(uint64_t)((double)(l->n - 1) * share)];
}
