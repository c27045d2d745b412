#ifndef PRIMROSELEADD_HEALTH_H
#define PRIMROSELEADD_HEALTH_H

#include <glib.h>
#include <primroselead/steer.h>
#include <primroselead/wire.h>

/*
 * Health checks of upstreams while the store is unreachable, and until
 * upstreams can have written to it since. If the upstreams of a failure domain
 * restart in this time, they are cold and must not get their full load. One VM
 * checks each upstream and tells the other VMs of a cold one.
 */

struct control;

/** Health checks that this VM makes. */
struct health {
	/**
	 * Checks by upstream id, which is unique for each start of an upstream.
	 */
	GHashTable *checks;
	/**
	 * Checks are being made, since the store has not confirmed the replica
	 * recently.
	 */
	int active;
};

/** Create and free the checks; health_finish cancels pending requests. */
void health_init(struct control *c);
void health_finish(struct control *c);

/** Updates the set of checked upstreams from a new view. */
void health_set_view(struct control *c, const struct steer_view *v);

/** Sends the checks that are due. */
void health_tick(struct control *c, int64_t now);

/** Handles another VM's report that an upstream is cold. */
void health_handle_cold(struct control *c, const struct wire_request *r,
			const struct wire_cold *cold);

#endif
