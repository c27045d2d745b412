#include "world.h"
#include <stdio.h>

static void dump_pool(const struct grant_pool *p)
{
	printf("  %s: capacity %d of config %lld, row %d of base %d, ledger %d "
	       "of config %lld, held %u, used %u\n",
	       p->name, p->capacity, (long long)p->config_version,
	       p->row_tokens, p->row_base_capacity, p->ledger_capacity,
	       (long long)p->ledger_config_version,
	       limit_semaphore_size(p->semaphore),
	       limit_semaphore_in_use(p->semaphore));
}

static void dump_vm(const struct world *w, int i)
{
	const struct fake_vm *v = &w->vm[i];

	printf("vm%d: alive %d, paused %d, cut %d, leaving %d, destroyed %d, "
	       "incarnation %d, config %lld, lease ends in %lld ms\n",
	       i, v->alive, v->paused, v->partitioned, v->leaving, v->destroyed,
	       v->incarnation, (long long)v->service.version,
	       (long long)(v->lease_until_ms - w->now_ms));
	for (int k = 0; v->alive && k < v->grant.npool; k++)
		dump_pool(&v->grant.pool[k]);
}

void dump_world(const struct world *w)
{
	const struct fake_object *o = store_find(w, "grants/s");

	for (int i = 0; i < VMS; i++)
		dump_vm(w, i);
	if (o)
		printf("ledger %lld: %s\n", (long long)o->version, o->value);
	for (int i = 0; i < INFLIGHT_MAX; i++)
		if (w->inflight[i].used)
			printf("in flight: region %d, vm %d, incarnation %d, "
			       "config %lld, ends in %lld ms\n",
			       w->inflight[i].region, w->inflight[i].vm,
			       w->inflight[i].incarnation,
			       (long long)w->inflight[i].config_version,
			       (long long)(w->inflight[i].deadline_ms -
					   w->now_ms));
	for (int i = 0; i < w->nconfig; i++)
		if (w->config[i].accepted)
			printf("config %lld: capacities %d %d %d\n",
			       (long long)w->config[i].version,
			       w->config[i].capacity[0],
			       w->config[i].capacity[1],
			       w->config[i].capacity[2]);
}
