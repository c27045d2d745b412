#ifndef PRIMROSELEADD_HEALTH_H
#define PRIMROSELEADD_HEALTH_H

#include <glib.h>
#include <primroselead/steer.h>
#include <primroselead/wire.h>

/*
 * Asks upstreams how they are while the store does not tell. Answers the load
 * that meets a domain whose upstreams turn cold in an outage of the store: one
 * VM asks each upstream, and tells the others.
 */

struct control;

/** What this VM asks, and of whom. */
struct health {
	/** Upstreams by the id of their start. */
	GHashTable *checks;
	/** The store does not tell now. */
	int active;
};

/** Starts and ends; ends what is under way. */
void health_init(struct control *c);
void health_finish(struct control *c);

/** Takes over from a new view which upstreams this VM asks. */
void health_set_view(struct control *c, const struct steer_view *v);

/** Asks those whose time has come. */
void health_tick(struct control *c, int64_t now);

/** Another VM tells that an upstream is cold. */
void health_handle_cold(struct control *c, const struct wire_request *r,
			const struct wire_cold *cold);

#endif
