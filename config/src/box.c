#include "box.h"
#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>

struct config_box *config_box_new(int64_t version)
{
	struct config_box *box;
	apr_pool_t *pool;

	if (apr_pool_create_unmanaged(&pool))
		return NULL;
	/* The box lies in its own pool, so that one call frees both. */
	box = apr_pcalloc(pool, sizeof(*box));
	if (!box) {
		apr_pool_destroy(pool);
		return NULL;
	}
	box->pool = pool;
	atomic_init(&box->refs, 1);
	box->service.version = version;
	return box;
}

struct steer_service *config_service_ref(struct steer_service *s)
{
	struct config_box *box = (struct config_box *)(void *)s;

	atomic_fetch_add(&box->refs, 1);
	return s;
}

void config_service_release(struct steer_service *s)
{
	struct config_box *box = (struct config_box *)(void *)s;
	apr_pool_t *pool = box->pool;

	if (atomic_fetch_sub(&box->refs, 1) > 1)
		return;
	apr_pool_destroy(pool);
}

static int by_region(const void *a, const void *b)
{
	const struct steer_upstream *x = a;
	const struct steer_upstream *y = b;

	return x->region - y->region;
}

void config_index_upstreams(struct steer_service *s)
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
