#ifndef PRIMROSELEADD_GRANTS_H
#define PRIMROSELEADD_GRANTS_H

#include "backoff.h"
#include <glib.h>
#include <primroselead/grant.h>
#include <primroselead/schema.h>
#include <primroselead/steer.h>
#include <primroselead/store.h>

/*
 * Capacity of this VM by service: what it acquires from the ledgers in the
 * store, releases to them, and reclaims from VMs that are gone.
 */

struct control;

/**
 * One service's capacity on this VM, and the call that synchronizes it with the
 * ledger in the store.
 */
struct service_grant {
	char service[PRL_NAME_MAX];
	struct grant_set grants;
	struct store_call call;
	struct backoff backoff;
	/** Id of the pending loan request by pool; 0 if there is none. */
	uint64_t borrow_id[LEDGER_POOLS_MAX];
	/** Tokens by pool as last written to the audit log. */
	int logged_tokens[LEDGER_POOLS_MAX];
	struct control *control;
};

struct grants {
	/** struct service_grant by service. */
	GHashTable *services;
	/** The ledgers have been marked invalid, to be read again. */
	int invalidated;
};

/** Initializes the state without services. */
void grants_init(struct control *c);

/** Capacity of a service, created if it is missing. */
struct service_grant *grants_get(struct control *c,
				 const struct steer_service *s);

/** Capacity of a service, or null if it has not been created. */
struct service_grant *grants_find(struct control *c, const char *service);

/**
 * Starts the ledger reads and writes that are due, which acquire, release and
 * reclaim capacity.
 */
void grants_tick(struct control *c, int64_t now);

/** Releases all capacity. Returns 1 once the ledgers show that, else 0. */
int grants_release_all(struct control *c);

/** Cancels the pending calls to the store and frees the grants. */
void grants_finish(struct control *c);

#endif
