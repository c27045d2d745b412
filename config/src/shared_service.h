#ifndef CONFIG_SHARED_SERVICE_H
#define CONFIG_SHARED_SERVICE_H

#include "index_table.h"
#include <apr_pools.h>
#include <primroselead/config.h>
#include <stdatomic.h>

/** A reference-counted service that views share; allocated from its own
 * pool. */
struct config_shared_service {
	/** Must be first: pointers to it are cast to the whole struct. */
	struct steer_service service;
	apr_pool_t *pool;
	_Atomic int refcount;
};

/** Allocates an empty service with one reference; null if out of memory. */
struct config_shared_service *config_shared_service_new(int64_t version);

/** Takes a reference to a service that is part of a struct
 * config_shared_service. */
struct steer_service *config_service_ref(struct steer_service *s);

/** Drops a reference; the last one frees the service. */
void config_service_release(struct steer_service *s);

/** Sorts a service's upstreams by region and sets the range of each region. */
void config_group_upstreams(struct steer_service *s);

/** Allocates a view with one reference; fills its regions, its entry VMs and
 * the rank of "self" among them. */
struct steer_view *config_view_new(const struct config_builder *b,
				   const struct steer_vm *vm, int nvm,
				   uint64_t self, int64_t revision);

/** Copies a text, or allocates zeroed memory, for as long as the view lasts. */
char *config_view_copy_text(struct steer_view *v, const char *text);
void *config_view_alloc(struct steer_view *v, size_t size);

/** Sorts a view's services by name. */
void config_view_sort_services(struct steer_view *v);

#endif
