#include "shared_service.h"
#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>

struct config_shared_service *config_shared_service_new(int64_t version)
{
	struct config_shared_service *shared;
	apr_pool_t *pool;

	if (apr_pool_create_unmanaged(&pool))
		return NULL;
	/* Allocated from its own pool, so that destroying the pool frees both.
	 */
	shared = apr_pcalloc(pool, sizeof(*shared));
	if (!shared) {
		apr_pool_destroy(pool);
		return NULL;
	}
	shared->pool = pool;
	atomic_init(&shared->refcount, 1);
	shared->service.version = version;
	return shared;
}

struct steer_service *config_service_ref(struct steer_service *s)
{
	struct config_shared_service *shared =
		(struct config_shared_service *)(void *)s;

	atomic_fetch_add(&shared->refcount, 1);
	return s;
}

void config_service_release(struct steer_service *s)
{
	struct config_shared_service *shared =
		(struct config_shared_service *)(void *)s;
	apr_pool_t *pool = shared->pool;

	if (atomic_fetch_sub(&shared->refcount, 1) > 1)
		return;
	apr_pool_destroy(pool);
}

static int by_region(const void *a, const void *b)
{
	const struct steer_upstream *x = a;
	const struct steer_upstream *y = b;

	return x->region - y->region;
}

void config_group_upstreams(struct steer_service *s)
{
	if (s->nupstream)
		qsort(s->upstream, (size_t)s->nupstream, sizeof(*s->upstream),
		      by_region);
	for (int i = 0; i < s->nupstream; i++) {
		struct steer_service_region *p =
			&s->region[s->upstream[i].region];

		if (!p->nupstream)
			p->first_upstream = i;
		p->nupstream++;
	}
}
