#include "shared_service.h"
#include <primroselead/config.h>
#include <primroselead/hash.h>
#include <primroselead/store.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void release_service(void *shared)
{
	config_service_release(shared);
}

void config_builder_init(struct config_builder *b)
{
	memset(b, 0, sizeof(*b));
	b->domains =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	config_index_table_init(&b->upstream_indexes);
	config_index_table_init(&b->semaphore_indexes);
	config_index_table_init(&b->service_indexes);
	config_index_table_init(&b->workspace_indexes);
	b->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    release_service);
	b->vm_state =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void config_builder_finish(struct config_builder *b)
{
	g_hash_table_destroy(b->domains);
	config_index_table_finish(&b->upstream_indexes);
	config_index_table_finish(&b->semaphore_indexes);
	config_index_table_finish(&b->service_indexes);
	config_index_table_finish(&b->workspace_indexes);
	g_hash_table_destroy(b->services);
	g_hash_table_destroy(b->vm_state);
}

int config_region_find(const struct config_builder *b, const char *name)
{
	for (int i = 0; i < b->nregion; i++)
		if (!strcmp(b->region[i], name))
			return i;
	return -1;
}

int config_region_index(struct config_builder *b, const char *name)
{
	int i = config_region_find(b, name);

	if (i >= 0)
		return i;
	if (b->nregion == STEER_REGIONS_MAX || strlen(name) >= STEER_NAME_MAX)
		return -1;
	snprintf(b->region[b->nregion], STEER_NAME_MAX, "%s", name);
	return b->nregion++;
}

uint32_t config_region_mask(const struct config_builder *b, char *const *name,
			    int n)
{
	uint32_t mask = 0;

	for (int i = 0; i < n; i++) {
		int region = config_region_find(b, name[i]);

		if (region >= 0)
			mask |= (uint32_t)1 << region;
	}
	return mask;
}

int config_domain_index(struct config_builder *b, const char *name)
{
	int i = GPOINTER_TO_INT(g_hash_table_lookup(b->domains, name));

	if (i)
		return i - 1;
	i = (int)g_hash_table_size(b->domains);
	g_hash_table_insert(b->domains, g_strdup(name), GINT_TO_POINTER(i + 1));
	return i;
}

int config_set_vm_state(struct config_builder *b, const struct config_vm *vm)
{
	gpointer before;

	if (!vm->http[0])
		return 0;
	before = g_hash_table_lookup(b->vm_state, vm->http);
	if (before == GINT_TO_POINTER(vm->state))
		return 0;
	g_hash_table_insert(b->vm_state, g_strdup(vm->http),
			    GINT_TO_POINTER(vm->state));
	return 1;
}

/* Returns STEER_ACTIVE for an address that is not in the VM list. */
static enum steer_state vm_state_of(const struct config_builder *b,
				    const char *address)
{
	return (enum steer_state)GPOINTER_TO_INT(
		g_hash_table_lookup(b->vm_state, address));
}

const struct steer_service *config_find_service(const struct config_builder *b,
						const char *name)
{
	const struct config_shared_service *s =
		g_hash_table_lookup(b->services, name);

	return s ? &s->service : NULL;
}

static enum prl_code fill_regions(struct config_builder *b,
				  const struct prl_service *file,
				  struct steer_service *s,
				  struct prl_error *err)
{
	for (int i = 0; i < file->nregion; i++) {
		const struct prl_service_region *r = &file->region[i];
		int index = config_region_index(b, r->label);
		struct steer_service_region *p;

		if (index < 0)
			return prl_error_set(
				err, PRL_E_LIMIT,
				"region \"%s\": more than %d regions", r->label,
				STEER_REGIONS_MAX);
		p = &s->region[index];
		p->capacity = (int)r->capacity;
		p->weight = (int)r->weight;
		p->semaphore_index = config_index_get(&b->semaphore_indexes,
						      s->name, r->label);
		if (p->semaphore_index < 0)
			return prl_error_set(
				err, PRL_E_LIMIT,
				"more than %d semaphores for regions and links",
				CONFIG_INDEXES_MAX);
		for (int k = 0; k < r->spill.n; k++) {
			int to = config_region_index(b, r->spill.item[k]);

			if (to >= 0)
				p->spill[p->nspill++] = (int8_t)to;
		}
	}
	return PRL_OK;
}

static enum prl_code fill_links(struct config_builder *b,
				const struct prl_service *file,
				struct config_shared_service *shared,
				struct prl_error *err)
{
	struct steer_service *s = &shared->service;
	char name[PRL_NAME_MAX * 2 + 2];

	s->link = apr_pcalloc(shared->pool,
			      sizeof(*s->link) * (size_t)file->nlink);
	for (int i = 0; i < file->nlink; i++) {
		const struct prl_service_link *f = &file->link[i];
		struct steer_link *l = &s->link[s->nlink++];

		snprintf(name, sizeof(name), "%s>%s", f->from, f->to);
		l->from = config_region_index(b, f->from);
		l->to = config_region_index(b, f->to);
		l->rate_mbit = (int)f->rate;
		l->semaphore_index =
			config_index_get(&b->semaphore_indexes, s->name, name);
		if (l->semaphore_index < 0)
			return prl_error_set(
				err, PRL_E_LIMIT,
				"more than %d semaphores for regions and links",
				CONFIG_INDEXES_MAX);
	}
	return PRL_OK;
}

static enum prl_code fill_upstreams(struct config_builder *b,
				    const struct prl_service *file,
				    struct config_shared_service *shared,
				    struct prl_error *err)
{
	struct steer_service *s = &shared->service;

	s->upstream = apr_pcalloc(
		shared->pool, sizeof(*s->upstream) * (size_t)file->nupstream);
	for (int i = 0; i < file->nupstream; i++) {
		const struct prl_service_upstream *f = &file->upstream[i];
		struct steer_upstream *u = &s->upstream[s->nupstream++];

		memcpy(u->address, f->address, sizeof(u->address));
		u->id = prl_hash_string(f->address);
		u->region = config_region_index(b, f->region);
		u->slots = (int)f->slots;
		u->connections_max = (int)f->connections;
		u->state = f->state == PRL_UPSTREAM_STATE_DRAIN
				   ? STEER_LEAVING
				   : vm_state_of(b, f->address);
		u->stats_index = config_index_get(&b->upstream_indexes, s->name,
						  f->address);
		if (u->stats_index < 0)
			return prl_error_set(err, PRL_E_LIMIT,
					     "more than %d upstreams",
					     CONFIG_INDEXES_MAX);
	}
	config_group_upstreams(s);
	return PRL_OK;
}

static void fill_once_rules(const struct prl_service *file,
			    struct config_shared_service *shared)
{
	static const char *const methods[] = {"GET", "HEAD",   "POST",
					      "PUT", "DELETE", "PATCH"};
	struct steer_service *s = &shared->service;

	s->rule = apr_pcalloc(shared->pool,
			      sizeof(*s->rule) * (size_t)file->nnever_twice);
	for (int i = 0; i < file->nnever_twice; i++) {
		const struct prl_service_never_twice *f = &file->never_twice[i];
		struct steer_once_rule *r = &s->rule[s->nrule++];

		snprintf(r->method, sizeof(r->method), "%s",
			 methods[f->method]);
		memcpy(r->path, f->path, sizeof(r->path));
	}
}

static void fill_shift(struct config_builder *b, const struct prl_service *file,
		       const struct steer_shift_progress *progress,
		       struct steer_service *s)
{
	const struct prl_service_shift *f = &file->shift;
	struct steer_shift *h = &s->shift;

	h->from = STEER_NONE;
	h->to = STEER_NONE;
	if (!f->line)
		return;
	h->from = config_region_index(b, f->from);
	h->to = config_region_index(b, f->to);
	h->cap_permille = (int)f->cap;
	h->step_permille = (int)f->step;
	h->step_interval_ms = f->pace;
	h->direction = (enum steer_direction)f->state;
	h->plan_id = prl_hash_combine(prl_hash_string(f->from),
				      prl_hash_string(f->to));
	h->share_permille = steer_shift_share(h, progress);
}

static enum prl_code fill_service(struct config_builder *b,
				  const struct prl_service *file,
				  const struct steer_shift_progress *progress,
				  struct config_shared_service *shared,
				  struct prl_error *err)
{
	struct steer_service *s = &shared->service;
	enum prl_code rc;

	strcpy(s->name, file->service.name);
	s->deadline_ms = file->service.deadline;
	s->lookup_ttl_ms = file->service.lookup_ttl;
	s->warmup_ms = file->service.warmup;
	s->retry_percent = (int)file->service.retry_budget;
	s->lb_policy = (enum steer_lb_policy)file->service.choice;
	s->stats_index = config_index_get(&b->service_indexes, s->name, "");
	if (s->stats_index < 0)
		return prl_error_set(err, PRL_E_LIMIT, "more than %d services",
				     CONFIG_INDEXES_MAX);
	rc = fill_regions(b, file, s, err);
	if (!rc)
		rc = fill_links(b, file, shared, err);
	if (!rc)
		rc = fill_upstreams(b, file, shared, err);
	if (rc)
		return rc;
	fill_once_rules(file, shared);
	fill_shift(b, file, progress, s);
	return PRL_OK;
}

enum prl_code config_build_service(struct config_builder *b,
				   const struct spread_object *o,
				   const struct steer_shift_progress *progress,
				   struct prl_error *err)
{
	const char *name = o->key + strlen(STORE_PREFIX_SERVICE);
	struct config_history history;
	struct prl_faults faults = {.file = "published"};
	struct prl_service file;
	struct config_shared_service *shared;
	const char *text;
	enum prl_code rc;

	if (!o->len) {
		g_hash_table_remove(b->services, name);
		return PRL_OK;
	}
	shared = config_shared_service_new(o->version);
	if (!shared)
		return prl_error_set(err, PRL_E_MEMORY,
				     "service \"%s\": out of memory", name);
	text = config_history_parse(o->value, &history);
	rc = config_service_parse(text, strlen(text), &file, shared->pool,
				  &faults, err);
	if (!rc && strcmp(name, file.service.name))
		rc = prl_error_set(
			err, PRL_E_CONFIG,
			"object \"%s\" contains the file of service \"%s\"",
			name, file.service.name);
	if (!rc)
		rc = fill_service(b, &file, progress, shared, err);
	if (rc) {
		config_service_release(&shared->service);
		return rc;
	}
	g_hash_table_replace(b->services, shared->service.name, shared);
	return PRL_OK;
}
