#include "shared_service.h"
#include <primroselead/config.h>
#include <primroselead/hash.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

/* Block in which a view's texts are allocated, in bytes. */
#define TEXTS_BLOCK_BYTES 1024

/* A view and its reference count; threads share it. */
struct shared_view {
	struct steer_view view;
	_Atomic int refcount;
	/* Texts and tables of the routes. */
	GStringChunk *texts;
	GPtrArray *tables;
};

char *config_view_copy_text(struct steer_view *v, const char *text)
{
	struct shared_view *shared = (struct shared_view *)(void *)v;

	return g_string_chunk_insert(shared->texts, text);
}

void *config_view_alloc(struct steer_view *v, size_t size)
{
	struct shared_view *shared = (struct shared_view *)(void *)v;
	void *p = g_malloc0(size);

	g_ptr_array_add(shared->tables, p);
	return p;
}

void config_view_release(struct steer_view *v)
{
	struct shared_view *shared = (struct shared_view *)(void *)v;

	if (atomic_fetch_sub(&shared->refcount, 1) > 1)
		return;
	for (int i = 0; i < v->nservice; i++)
		config_service_release(v->service[i]);
	g_free(v->service);
	g_free(v->route);
	g_free(v->vm);
	g_string_chunk_free(shared->texts);
	g_ptr_array_free(shared->tables, TRUE);
	g_free(shared);
}

struct steer_view *config_view_ref(struct steer_view *v)
{
	struct shared_view *shared = (struct shared_view *)(void *)v;

	atomic_fetch_add(&shared->refcount, 1);
	return v;
}

static int by_region(const void *a, const void *b)
{
	const struct steer_vm *x = a;
	const struct steer_vm *y = b;

	if (x->region != y->region)
		return x->region - y->region;
	return x->id < y->id ? -1 : x->id > y->id;
}

static int by_name(const void *a, const void *b)
{
	const struct steer_service *x = *(struct steer_service *const *)a;
	const struct steer_service *y = *(struct steer_service *const *)b;

	return strcmp(x->name, y->name);
}

static void fill_vms(struct steer_view *v, const struct steer_vm *vm, int nvm)
{
	int at = 0;

	v->vm = g_memdup2(vm, sizeof(*vm) * (size_t)nvm);
	v->nvm = nvm;
	if (nvm)
		qsort(v->vm, (size_t)nvm, sizeof(*vm), by_region);
	for (int r = 0; r <= STEER_REGIONS_MAX; r++) {
		while (at < nvm && v->vm[at].region < r)
			at++;
		v->first_vm[r] = at;
	}
}

/* Sets this VM's rank among the active VMs of its region. The VM table is
 * sorted, so all VMs agree on the ranks. */
static void rank_self(struct steer_view *v, uint64_t self)
{
	int region;

	v->self = STEER_NONE;
	for (int i = 0; i < v->nvm; i++) {
		v->nactive += v->vm[i].state == STEER_ACTIVE;
		if (v->vm[i].id == self)
			v->self = i;
	}
	if (v->self == STEER_NONE || v->vm[v->self].state != STEER_ACTIVE)
		return;
	region = v->vm[v->self].region;
	for (int i = v->first_vm[region]; i < v->first_vm[region + 1]; i++) {
		if (v->vm[i].state != STEER_ACTIVE)
			continue;
		if (v->vm[i].id == self)
			v->self_rank = v->self_region_nactive;
		v->self_region_nactive++;
	}
}

struct steer_view *config_view_new(const struct config_builder *b,
				   const struct steer_vm *vm, int nvm,
				   uint64_t self, int64_t revision)
{
	struct shared_view *shared = g_new0(struct shared_view, 1);
	struct steer_view *v = &shared->view;

	atomic_init(&shared->refcount, 1);
	shared->texts = g_string_chunk_new(TEXTS_BLOCK_BYTES);
	shared->tables = g_ptr_array_new_with_free_func(g_free);
	v->revision = revision;
	v->nregion = b->nregion;
	memcpy(v->region, b->region, sizeof(v->region));
	for (int i = 0; i < v->nregion; i++)
		v->region_id[i] = prl_hash_string(v->region[i]);
	fill_vms(v, vm, nvm);
	rank_self(v, self);
	return v;
}

void config_view_sort_services(struct steer_view *v)
{
	if (v->nservice)
		qsort(v->service, (size_t)v->nservice, sizeof(*v->service),
		      by_name);
}

struct steer_view *config_build_view(const struct config_builder *b,
				     const struct steer_vm *vm, int nvm,
				     uint64_t self, int64_t revision)
{
	struct steer_view *v = config_view_new(b, vm, nvm, self, revision);
	GHashTableIter it;
	void *value;

	v->service = g_new0(struct steer_service *,
			    g_hash_table_size(b->services) + 1);
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		v->service[v->nservice++] = config_service_ref(value);
	config_view_sort_services(v);
	return v;
}
