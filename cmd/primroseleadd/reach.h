#ifndef PRIMROSELEADD_REACH_H
#define PRIMROSELEADD_REACH_H

#include <glib.h>
#include <primroselead/proxy.h>
#include <primroselead/wire.h>

/*
 * Which services this VM is isolated from: none of their upstreams answers it.
 * Its traffic threads find that out from their attempts; probes find out about
 * other services, and when upstreams answer again. Each VM announces it to all
 * others: from its own attempts alone a VM can't know whether it is cut off
 * itself or the upstreams are gone.
 */

struct control;

/** Reach of this VM and of the others. */
struct reach {
	/** struct reach_service by name, of services that are suspected or
	 * isolated. */
	GHashTable *services;
	/** struct reach_peer by VM name, of VMs that said that they are
	 * isolated. */
	GHashTable *peers;
	/** View from which upstreams to probe are taken; null at first. */
	struct steer_view *view;
	/** Last announcement to the other VMs, and its services. */
	struct wire_isolation announced;
	uint64_t announced_service[WIRE_ISOLATED_MAX];
	/** When the announcement is repeated. */
	int64_t next_announcement_ms;
};

/** Create and free the state; reach_finish cancels pending probes. */
void reach_init(struct control *c);
void reach_finish(struct control *c);

/** Handles the report of a traffic thread that its attempts reach no upstream
 * of a service. */
void reach_handle_isolated(struct control *c, const struct proxy_news *news);

/** Handles another VM's announcement. */
void reach_handle_remote(struct control *c, const struct wire_request *r,
			 const struct wire_isolation *from);

/** Fills the services that a VM is isolated from. */
void reach_fill_vm(const struct control *c, const char *name,
		   struct steer_vm *out);

/** Takes the upstreams to probe from a new view. */
void reach_set_view(struct control *c, struct steer_view *v);

/** Sends the probes that are due, and announces changes to the other VMs. */
void reach_tick(struct control *c, int64_t now);

#endif
