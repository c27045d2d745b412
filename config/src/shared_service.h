#ifndef CONFIG_SHARED_SERVICE_H
#define CONFIG_SHARED_SERVICE_H

#include "index_table.h"
#include <apr_pools.h>
#include <primroselead/config.h>
#include <stdatomic.h>

/** A built service; a reference-counted box with a pool of its own. */
struct config_shared_service {
	/** First, so that a pointer to it is one to the box. */
	struct steer_service service;
	apr_pool_t *pool;
	_Atomic int refcount;
};

/** Makes a box with one reference; null if there is no memory. */
struct config_shared_service *config_shared_service_new(int64_t version);

/** Takes one more reference to a built service. */
struct steer_service *config_service_ref(struct steer_service *s);

/** Gives a reference back. */
void config_service_release(struct steer_service *s);

/** Sorts a service's upstreams by region and finds each region's run. */
void config_group_upstreams(struct steer_service *s);

/** Begins a view with one reference: regions, entry VMs and their ranks. */
struct steer_view *config_view_new(const struct config_builder *b,
				   const struct steer_vm *vm, int nvm,
				   uint64_t self, int64_t revision);

/** Puts the services, one reference each, into their order. */
void config_view_sort_services(struct steer_view *v);

#endif
