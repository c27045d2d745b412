/* Builds the view of a fleet that is configured by the platform's manifest. */
#include "shared_service.h"
#include "upstream_id.h"
#include "workspaces.h"
#include <primroselead/hash.h>
#include <primroselead/inventory.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Number of VMs that send requests to one upstream that is cold or names a rate
 * limit, and divide its rate. Few, so that each one's part is enough to warm
 * the upstream, and since VMs that disagree about who is active exceed the rate
 * by less; more than one, since a VM may die. */
#define PACED_SENDERS 2

/* Least rate, in thousandths of a request per second, that is divided: the end
 * of a limit is seen only in a response. */
#define LIMIT_MIN_MILLI 250

struct view_build {
	const struct inventory *inventory;
	struct config_builder *builder;
	struct steer_view *view;
	uint64_t self;
};

static int is_usable(const struct inventory *inv,
		     const struct inventory_upstream *from)
{
	const struct fleet_upstream *u = &from->entry;

	return !u->leaving && !from->said_leaving &&
	       !g_hash_table_contains(inv->evacuated_domains, u->domain) &&
	       g_hash_table_contains(inv->region_by_domain, u->domain);
}

/* VMs that may send to the paced upstreams of a service. */
struct senders {
	/** STEER_NONE means all regions. */
	int region;
	/** Hash of the service's name: VMs that are isolated from it send
	 * nothing. 0 means that isolation does not count. */
	uint64_t service;
};

static int is_sender(const struct steer_vm *vm, const struct senders *s)
{
	return vm->state == STEER_ACTIVE &&
	       (s->region == STEER_NONE || vm->region == s->region) &&
	       !(s->service && steer_vm_is_isolated(vm, s->service));
}

/* Ranks senders for an upstream by rendezvous hashing. Returns this VM's rank,
 * or STEER_NONE if it is not one of them; sets "total" to their number. */
static int sender_rank(const struct view_build *build, uint64_t upstream,
		       const struct senders *senders, int *total)
{
	const struct steer_view *v = build->view;
	uint64_t self_weight = prl_hash_combine(upstream, build->self);
	int is_ranked = 0;
	int rank = 0;

	*total = 0;
	for (int i = 0; i < v->nvm; i++) {
		if (!is_sender(&v->vm[i], senders))
			continue;
		++*total;
		is_ranked |= v->vm[i].id == build->self;
		if (prl_hash_combine(upstream, v->vm[i].id) > self_weight)
			rank++;
	}
	return is_ranked ? rank : STEER_NONE;
}

/* Sets this VM's parts of the rates at which all VMs together may send to an
 * upstream while it is cold or names a limit, and whether this VM is its health
 * checker. The first PACED_SENDERS VMs of the upstream's region divide the
 * rates; if the region has no active VM that reaches the service, VMs of any
 * region do, and if no VM reaches it, any active ones. */
static void set_paced_rates(const struct view_build *build,
			    struct steer_upstream *u,
			    const struct fleet_service *service)
{
	const uint64_t name = prl_hash_string(service->name);
	const struct senders order[] = {
		{u->region, name}, {STEER_NONE, name}, {STEER_NONE, 0}};
	int64_t limit = MAX(u->limit_milli, LIMIT_MIN_MILLI);
	int rank = STEER_NONE;
	int total = 0;
	int senders;

	for (size_t i = 0; !total && i < G_N_ELEMENTS(order); i++)
		rank = sender_rank(build, u->id, &order[i], &total);
	if (rank == STEER_NONE || !total)
		return;
	u->is_health_checker = rank == 0;
	if (rank >= PACED_SENDERS)
		return;
	senders = total < PACED_SENDERS ? total : PACED_SENDERS;
	u->cold_rate_milli = service->cold_rate_milli / senders;
	u->limit_part_milli = limit / senders;
}

static int fill_upstream(const struct view_build *build,
			 const struct inventory_upstream *from,
			 const struct fleet_service *service,
			 struct steer_upstream *u)
{
	const struct fleet_upstream *entry = &from->entry;
	char start[FLEET_NAME_MAX + 24];

	memset(u, 0, sizeof(*u));
	inventory_format_start(entry, start, sizeof(start));
	u->id = prl_hash_string(start);
	memcpy(u->instance, entry->instance, sizeof(u->instance));
	memcpy(u->address, entry->address, sizeof(u->address));
	u->region = config_region_index(
		build->builder,
		g_hash_table_lookup(build->inventory->region_by_domain,
				    entry->domain));
	u->domain = config_domain_index(build->builder, entry->domain);
	u->state = STEER_ACTIVE;
	u->slots = entry->slots;
	u->connections_max = service->connections_max;
	u->cold_until_ms = from->cold_until_ms;
	u->paused_until_ms = from->paused_until_ms;
	u->closed_until_ms = from->closed_until_ms;
	u->limited_until_ms = from->limited_until_ms;
	u->limit_resumes_ms = from->limit_resumes_ms;
	u->limit_milli = from->limit_milli;
	u->stats_index = config_index_get(&build->builder->upstream_indexes,
					  entry->service, start);
	if (u->region < 0 || u->stats_index < 0) {
		build->view->nleft_out++;
		return -1;
	}
	set_paced_rates(build, u, service);
	return 0;
}

static void fill_upstreams(const struct view_build *build,
			   const struct fleet_service *service,
			   struct config_shared_service *shared)
{
	struct steer_service *s = &shared->service;
	GHashTableIter it;
	void *value;

	s->upstream = apr_pcalloc(
		shared->pool,
		sizeof(*s->upstream) *
			g_hash_table_size(build->inventory->upstreams));
	g_hash_table_iter_init(&it, build->inventory->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct inventory_upstream *u = value;

		if (strcmp(u->entry.service, service->name) ||
		    !is_usable(build->inventory, u))
			continue;
		if (!fill_upstream(build, u, service,
				   &s->upstream[s->nupstream]))
			s->nupstream++;
	}
	config_group_upstreams(s);
}

static void add_service(const struct view_build *build,
			const struct fleet_service *service)
{
	struct config_shared_service *shared =
		config_shared_service_new(build->inventory->manifest.version);
	struct steer_service *s;

	if (!shared)
		return;
	s = &shared->service;
	strcpy(s->name, service->name);
	s->shift.from = STEER_NONE;
	s->shift.to = STEER_NONE;
	s->stats_index =
		config_index_get(&build->builder->service_indexes, s->name, "");
	if (s->stats_index < 0) {
		build->view->nleft_out++;
		config_service_release(s);
		return;
	}
	fill_upstreams(build, service, shared);
	build->view->service[build->view->nservice++] = s;
}

static const struct fleet_split *copy_split(const struct view_build *build,
					    const struct fleet_route *from)
{
	struct fleet_split *split = config_view_alloc(
		build->view, sizeof(*split) * (size_t)from->nsplit);

	for (int i = 0; i < from->nsplit; i++) {
		split[i].weight_milli = from->split[i].weight_milli;
		split[i].service = config_view_copy_text(
			build->view, from->split[i].service);
	}
	return split;
}

static void add_route(const struct view_build *build,
		      const struct fleet_route *from)
{
	struct steer_route *r = &build->view->route[build->view->nroute++];

	r->id = prl_hash_string(from->name);
	r->host = config_view_copy_text(build->view, from->host);
	r->prefix = config_view_copy_text(build->view, from->prefix);
	r->policy = from->policy;
	if (r->policy.attempts_max < 1)
		r->policy.attempts_max = 1;
	r->region_mask = config_region_mask(
		build->builder, from->allowed_region, from->nallowed_region);
	r->is_homeless = from->nallowed_region && !r->region_mask;
	r->split = copy_split(build, from);
	r->nsplit = from->nsplit;
	r->is_public = from->is_public;
}

/* Orders routes by host, which steer_find_route searches for, then by length of
 * prefix, longest first: a request takes the first route that matches. */
static int by_host_and_prefix(const void *a, const void *b)
{
	const struct steer_route *x = a;
	const struct steer_route *y = b;
	int order = g_ascii_strcasecmp(x->host, y->host);

	if (order)
		return order;
	return (int)strlen(y->prefix) - (int)strlen(x->prefix);
}

struct steer_view *inventory_build_view(const struct inventory *inv,
					struct config_builder *b,
					const struct steer_vm *vm, int nvm,
					uint64_t self, int64_t now)
{
	const struct fleet_manifest *m = &inv->manifest;
	struct view_build build = {
		.inventory = inv, .builder = b, .self = self};
	struct steer_view *v;

	if (!m->version || !inv->list_complete)
		return NULL;
	v = config_view_new(b, vm, nvm, self, m->version);
	build.view = v;
	v->manifest_version = m->version;
	v->limits = m->limits;
	v->service = g_new0(struct steer_service *, (gsize)m->nservice + 1);
	config_index_round_begin(&b->upstream_indexes);
	config_index_round_begin(&b->service_indexes);
	for (int i = 0; i < m->nservice; i++)
		add_service(&build, &m->service[i]);
	config_index_round_end(&b->upstream_indexes, now);
	config_index_round_end(&b->service_indexes, now);
	config_view_sort_services(v);
	v->route = g_new0(struct steer_route, (gsize)m->nroute + 1);
	for (int i = 0; i < m->nroute; i++)
		add_route(&build, &m->route[i]);
	qsort(v->route, (size_t)v->nroute, sizeof(*v->route),
	      by_host_and_prefix);
	config_workspaces_fill(inv, b, v, now);
	/* Building the services and routes may have added regions. */
	v->nregion = b->nregion;
	memcpy(v->region, b->region, sizeof(v->region));
	return v;
}
