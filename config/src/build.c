#include "box.h"
#include <apr_general.h>
#include <primroselead/config.h>
#include <primroselead/hash.h>
#include <primroselead/store.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A built service; a reference-counted box with a pool of its own. */
struct built {
	struct steer_service service;
	apr_pool_t *pool;
	_Atomic int refs;
};

static void built_release(void *p)
{
	struct built *b = p;
	apr_pool_t *pool = b->pool;

	if (atomic_fetch_sub(&b->refs, 1) > 1)
		return;
	apr_pool_destroy(pool);
}

struct steer_service *config_service_ref(struct steer_service *s)
{
	/* The service is the first member of its box. */
	struct built *built = (struct built *)(void *)s;

	atomic_fetch_add(&built->refs, 1);
	return s;
}

void config_service_release(struct steer_service *s)
{
	built_release(s);
}

static void cells_init(struct config_cells *c)
{
	c->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->n = 0;
}

static int cell(struct config_cells *c, const char *service, const char *name)
{
	char key[PRL_NAME_MAX * 3 + 4];
	int i;

	snprintf(key, sizeof(key), "%s %s", service, name);
	i = GPOINTER_TO_INT(g_hash_table_lookup(c->by_name, key));
	if (i)
		return i - 1;
	if (c->n == CONFIG_CELLS_MAX)
		return -1;
	g_hash_table_insert(c->by_name, g_strdup(key), GINT_TO_POINTER(++c->n));
	return c->n - 1;
}

void config_builder_init(struct config_builder *b)
{
	memset(b, 0, sizeof(*b));
	b->domains =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	cells_init(&b->upstream_cells);
	cells_init(&b->hold_cells);
	cells_init(&b->service_cells);
	b->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    built_release);
	b->vm_state =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void config_builder_finish(struct config_builder *b)
{
	g_hash_table_destroy(b->domains);
	g_hash_table_destroy(b->upstream_cells.by_name);
	g_hash_table_destroy(b->hold_cells.by_name);
	g_hash_table_destroy(b->service_cells.by_name);
	g_hash_table_destroy(b->services);
	g_hash_table_destroy(b->vm_state);
}

int config_region(struct config_builder *b, const char *name)
{
	for (int i = 0; i < b->nregion; i++)
		if (!strcmp(b->region[i], name))
			return i;
	if (b->nregion == STEER_REGIONS_MAX)
		return -1;
	snprintf(b->region[b->nregion], STEER_NAME_MAX, "%s", name);
	return b->nregion++;
}

int config_domain(struct config_builder *b, const char *name)
{
	int i = GPOINTER_TO_INT(g_hash_table_lookup(b->domains, name));

	if (i)
		return i - 1;
	i = (int)g_hash_table_size(b->domains);
	g_hash_table_insert(b->domains, g_strdup(name), GINT_TO_POINTER(i + 1));
	return i;
}

int config_note_vm(struct config_builder *b, const struct config_vm *vm)
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

static enum steer_state listed_state(const struct config_builder *b,
				     const char *address)
{
	return (enum steer_state)GPOINTER_TO_INT(
		g_hash_table_lookup(b->vm_state, address));
}

const struct steer_service *config_find(const struct config_builder *b,
					const char *name)
{
	const struct built *s = g_hash_table_lookup(b->services, name);

	return s ? &s->service : NULL;
}

static enum prl_code fill_places(struct config_builder *b,
				 const struct prl_service *file,
				 struct steer_service *s, struct prl_error *err)
{
	for (int i = 0; i < file->nregion; i++) {
		const struct prl_service_region *r = &file->region[i];
		int index = config_region(b, r->label);
		struct steer_place *p;

		if (index < 0)
			return prl_fail(err, PRL_E_LIMIT,
					"region \"%s\": more than %d regions",
					r->label, STEER_REGIONS_MAX);
		p = &s->place[index];
		p->capacity = (int)r->capacity;
		p->weight = (int)r->weight;
		p->hold = cell(&b->hold_cells, s->name, r->label);
		if (p->hold < 0)
			return prl_fail(err, PRL_E_LIMIT,
					"more than %d pools of capacity",
					CONFIG_CELLS_MAX);
		for (int k = 0; k < r->spill.n; k++) {
			int to = config_region(b, r->spill.item[k]);

			if (to >= 0)
				p->spill[p->nspill++] = (int8_t)to;
		}
	}
	return PRL_OK;
}

static enum prl_code fill_links(struct config_builder *b,
				const struct prl_service *file,
				struct built *built, struct prl_error *err)
{
	struct steer_service *s = &built->service;
	char name[PRL_NAME_MAX * 2 + 2];

	s->link = apr_pcalloc(built->pool,
			      sizeof(*s->link) * (size_t)file->nlink);
	for (int i = 0; i < file->nlink; i++) {
		const struct prl_service_link *f = &file->link[i];
		struct steer_link *l = &s->link[s->nlink++];

		snprintf(name, sizeof(name), "%s>%s", f->from, f->to);
		l->from = config_region(b, f->from);
		l->to = config_region(b, f->to);
		l->rate = (int)f->rate;
		l->hold = cell(&b->hold_cells, s->name, name);
		if (l->hold < 0)
			return prl_fail(err, PRL_E_LIMIT,
					"more than %d pools of capacity",
					CONFIG_CELLS_MAX);
	}
	return PRL_OK;
}

static int by_region(const void *a, const void *b)
{
	const struct steer_upstream *x = a;
	const struct steer_upstream *y = b;

	return x->region - y->region;
}

static void index_upstreams(struct steer_service *s)
{
	for (int i = 0; i < s->nupstream; i++) {
		struct steer_place *p = &s->place[s->upstream[i].region];

		if (!p->nupstream)
			p->first_upstream = i;
		p->nupstream++;
	}
}

static enum prl_code fill_upstreams(struct config_builder *b,
				    const struct prl_service *file,
				    struct built *built, struct prl_error *err)
{
	struct steer_service *s = &built->service;

	s->upstream = apr_pcalloc(built->pool, sizeof(*s->upstream) *
						       (size_t)file->nupstream);
	for (int i = 0; i < file->nupstream; i++) {
		const struct prl_service_upstream *f = &file->upstream[i];
		struct steer_upstream *u = &s->upstream[s->nupstream++];

		memcpy(u->address, f->address, sizeof(u->address));
		u->id = prl_hash_name(f->address);
		u->region = config_region(b, f->region);
		u->slots = (int)f->slots;
		u->connections = (int)f->connections;
		u->state = f->state == PRL_UPSTREAM_STATE_DRAIN
				   ? STEER_LEAVING
				   : listed_state(b, f->address);
		u->cell = cell(&b->upstream_cells, s->name, f->address);
		if (u->cell < 0)
			return prl_fail(err, PRL_E_LIMIT,
					"more than %d upstreams",
					CONFIG_CELLS_MAX);
	}
	qsort(s->upstream, (size_t)s->nupstream, sizeof(*s->upstream),
	      by_region);
	index_upstreams(s);
	return PRL_OK;
}

static void fill_rules(const struct prl_service *file, struct built *built)
{
	static const char *const methods[] = {"GET", "HEAD",   "POST",
					      "PUT", "DELETE", "PATCH"};
	struct steer_service *s = &built->service;

	s->rule = apr_pcalloc(built->pool,
			      sizeof(*s->rule) * (size_t)file->nnever_twice);
	for (int i = 0; i < file->nnever_twice; i++) {
		const struct prl_service_never_twice *f = &file->never_twice[i];
		struct steer_rule *r = &s->rule[s->nrule++];

		snprintf(r->method, sizeof(r->method), "%s",
			 methods[f->method]);
		memcpy(r->path, f->path, sizeof(r->path));
	}
}

static void fill_shift(struct config_builder *b, const struct prl_service *file,
		       const struct steer_progress *progress,
		       struct steer_service *s)
{
	const struct prl_service_shift *f = &file->shift;
	struct steer_shift *h = &s->shift;

	h->from = STEER_NONE;
	h->to = STEER_NONE;
	if (!f->line)
		return;
	h->from = config_region(b, f->from);
	h->to = config_region(b, f->to);
	h->cap = (int)f->cap;
	h->step = (int)f->step;
	h->pace_ms = f->pace;
	h->direction = (enum steer_direction)f->state;
	h->plan = prl_hash_pair(prl_hash_name(f->from), prl_hash_name(f->to));
	h->share = steer_share(h, progress);
}

static enum prl_code fill(struct config_builder *b,
			  const struct prl_service *file,
			  const struct steer_progress *progress,
			  struct built *built, struct prl_error *err)
{
	struct steer_service *s = &built->service;
	enum prl_code rc;

	memcpy(s->name, file->service.name, sizeof(s->name));
	s->deadline_ms = file->service.deadline;
	s->lookup_ttl_ms = file->service.lookup_ttl;
	s->warmup_ms = file->service.warmup;
	s->retry_percent = (int)file->service.retry_budget;
	s->choice = (enum steer_choice)file->service.choice;
	s->cell = cell(&b->service_cells, s->name, "");
	rc = fill_places(b, file, s, err);
	if (!rc)
		rc = fill_links(b, file, built, err);
	if (!rc)
		rc = fill_upstreams(b, file, built, err);
	if (rc)
		return rc;
	fill_rules(file, built);
	fill_shift(b, file, progress, s);
	return PRL_OK;
}

static struct built *new_built(int64_t version)
{
	apr_pool_t *pool;
	struct built *built;

	if (apr_pool_create_unmanaged(&pool))
		return NULL;
	/* The box lies in its own pool, so that one call frees both. */
	built = apr_pcalloc(pool, sizeof(*built));
	if (!built) {
		apr_pool_destroy(pool);
		return NULL;
	}
	built->pool = pool;
	atomic_init(&built->refs, 1);
	built->service.version = version;
	return built;
}

enum prl_code config_build_service(struct config_builder *b,
				   const struct spread_object *o,
				   const struct steer_progress *progress,
				   struct prl_error *err)
{
	const char *name = o->key + strlen(STORE_PREFIX_SERVICE);
	struct config_history history;
	struct prl_faults faults = {.file = "published"};
	struct prl_service file;
	struct built *built;
	const char *text;
	enum prl_code rc;

	if (!o->len) {
		g_hash_table_remove(b->services, name);
		return PRL_OK;
	}
	built = new_built(o->version);
	if (!built)
		return prl_fail(err, PRL_E_MEMORY, "service \"%s\"", name);
	text = config_unwrap(o->value, &history);
	rc = config_service(text, strlen(text), &file, built->pool, &faults,
			    err);
	if (!rc && strcmp(name, file.service.name))
		rc = prl_fail(err, PRL_E_CONFIG,
			      "object \"%s\" holds the file of service \"%s\"",
			      name, file.service.name);
	if (!rc)
		rc = fill(b, &file, progress, built, err);
	if (rc) {
		built_release(built);
		return rc;
	}
	g_hash_table_replace(b->services, built->service.name, built);
	return PRL_OK;
}
