/* The view of a fleet that follows the platform's manifest. */
#include "box.h"
#include <primroselead/hash.h>
#include <primroselead/inventory.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* VMs that send to one cold upstream: few, so that each may send often enough
 * to warm it, and more than one, since any may die. */
#define COLD_SENDERS 2

/* What one view is built from. */
struct building {
	const struct inventory *k;
	struct config_builder *b;
	struct steer_view *view;
	uint64_t self;
};

static int may_use(const struct inventory *k, const struct fleet_upstream *u)
{
	return !u->leaving &&
	       !g_hash_table_contains(k->evacuated_domains, u->domain) &&
	       g_hash_table_contains(k->region_by_domain, u->domain);
}

/* Whether a VM is among those that an upstream's region has for it. */
static int counts(const struct steer_vm *vm, int region)
{
	return vm->state == STEER_ACTIVE &&
	       (region == STEER_NONE || vm->region == region);
}

/* Rank of this VM for an upstream among the active VMs of a region, or of all
 * regions, or STEER_NONE if it isn't one of them; fills their number. */
static int sender_rank(const struct building *g, uint64_t upstream, int region,
		       int *total)
{
	const struct steer_view *v = g->view;
	uint64_t own = prl_hash_pair(upstream, g->self);
	int among = 0;
	int rank = 0;

	*total = 0;
	for (int i = 0; i < v->nvm; i++) {
		if (!counts(&v->vm[i], region))
			continue;
		++*total;
		among |= v->vm[i].id == g->self;
		if (prl_hash_pair(upstream, v->vm[i].id) > own)
			rank++;
	}
	return among ? rank : STEER_NONE;
}

/* Decides what this VM may send an upstream while it is cold, and whether it
 * is the one that asks it. The bound on a cold one holds over all VMs, so a few
 * of the upstream's region divide it; without any there, a few of all. */
static void fill_cold(const struct building *g, struct steer_upstream *u,
		      int64_t rate)
{
	int total;
	int rank = sender_rank(g, u->id, u->region, &total);

	if (!total)
		rank = sender_rank(g, u->id, STEER_NONE, &total);
	if (rank == STEER_NONE)
		return;
	u->is_health_checker = rank == 0;
	if (rank < COLD_SENDERS)
		u->cold_rate_milli =
			rate / (total < COLD_SENDERS ? total : COLD_SENDERS);
}

static int fill_upstream(const struct building *g,
			 const struct inventory_upstream *from,
			 const struct fleet_service *file,
			 struct steer_upstream *u)
{
	const struct fleet_upstream *said = &from->entry;
	char start[FLEET_NAME_MAX + 24];

	memset(u, 0, sizeof(*u));
	snprintf(start, sizeof(start), "%s %lld", said->instance,
		 (long long)said->started_ms);
	u->id = prl_hash_name(start);
	memcpy(u->instance, said->instance, sizeof(u->instance));
	memcpy(u->address, said->address, sizeof(u->address));
	u->region = config_region_index(
		g->b,
		g_hash_table_lookup(g->k->region_by_domain, said->domain));
	u->domain = config_domain_index(g->b, said->domain);
	u->state = STEER_ACTIVE;
	u->slots = said->slots;
	u->connections_max = file->connections_max;
	u->cold_until_ms = from->cold_until_ms;
	u->paused_until_ms = from->paused_until_ms;
	u->stats_index =
		config_cell(&g->b->upstream_indexes, said->service, start);
	if (u->region < 0 || u->stats_index < 0)
		return -1;
	fill_cold(g, u, file->cold_rate_milli);
	return 0;
}

static void fill_upstreams(const struct building *g,
			   const struct fleet_service *file,
			   struct config_box *box)
{
	struct steer_service *s = &box->service;
	GHashTableIter it;
	void *value;

	s->upstream = apr_pcalloc(box->pool,
				  sizeof(*s->upstream) *
					  g_hash_table_size(g->k->upstreams));
	g_hash_table_iter_init(&it, g->k->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct inventory_upstream *u = value;

		if (strcmp(u->entry.service, file->name) ||
		    !may_use(g->k, &u->entry))
			continue;
		if (!fill_upstream(g, u, file, &s->upstream[s->nupstream]))
			s->nupstream++;
	}
	config_index_upstreams(s);
}

static void add_service(const struct building *g,
			const struct fleet_service *file)
{
	struct config_box *box = config_box_new(g->k->manifest.version);
	struct steer_service *s;

	if (!box)
		return;
	s = &box->service;
	memcpy(s->name, file->name, sizeof(s->name));
	s->shift.from = STEER_NONE;
	s->shift.to = STEER_NONE;
	s->stats_index = config_cell(&g->b->service_indexes, s->name, "");
	fill_upstreams(g, file, box);
	g->view->service[g->view->nservice++] = s;
}

static uint32_t home_mask(const struct building *g,
			  const struct fleet_route *from)
{
	uint32_t mask = 0;

	for (int i = 0; i < from->nhome_region; i++) {
		int region = config_region_index(g->b, from->home_region[i]);

		if (region >= 0)
			mask |= (uint32_t)1 << region;
	}
	return mask;
}

static void add_route(const struct building *g, const struct fleet_route *from)
{
	struct steer_route *r = &g->view->route[g->view->nroute++];

	memcpy(r->host, from->host, sizeof(r->host));
	memcpy(r->prefix, from->prefix, sizeof(r->prefix));
	r->policy = from->policy;
	if (r->policy.attempts_max < 1)
		r->policy.attempts_max = 1;
	r->region_mask = home_mask(g, from);
	memcpy(r->split, from->split, sizeof(r->split));
	r->nsplit = from->nsplit;
	r->stats_index =
		config_cell(&g->b->semaphore_indexes, "route", from->name);
}

static int by_host(const void *a, const void *b)
{
	const struct steer_route *x = a;
	const struct steer_route *y = b;
	int order = g_ascii_strcasecmp(x->host, y->host);

	if (order)
		return order;
	return (int)strlen(y->prefix) - (int)strlen(x->prefix);
}

struct steer_view *inventory_build_view(const struct inventory *k,
					struct config_builder *b,
					const struct steer_vm *vm, int nvm,
					uint64_t self, int64_t now)
{
	const struct fleet_manifest *m = &k->manifest;
	struct building g = {.k = k, .b = b, .self = self};
	struct steer_view *v;

	if (!m->version || !k->list_complete)
		return NULL;
	v = config_view_new(b, vm, nvm, self, m->version);
	g.view = v;
	v->manifest_version = m->version;
	v->limits = m->limits;
	v->service = g_new0(struct steer_service *, (gsize)m->nservice + 1);
	config_cells_begin(&b->upstream_indexes);
	for (int i = 0; i < m->nservice; i++)
		add_service(&g, &m->service[i]);
	config_cells_end(&b->upstream_indexes, now);
	config_view_sort(v);
	v->route = g_new0(struct steer_route, (gsize)m->nroute + 1);
	for (int i = 0; i < m->nroute; i++)
		add_route(&g, &m->route[i]);
	qsort(v->route, (size_t)v->nroute, sizeof(*v->route), by_host);
	/* Regions may have been named for the first time. */
	v->nregion = b->nregion;
	memcpy(v->region, b->region, sizeof(v->region));
	return v;
}
