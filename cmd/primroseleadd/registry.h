#ifndef PRIMROSELEADD_REGISTRY_H
#define PRIMROSELEADD_REGISTRY_H

#include "backoff.h"
#include <glib.h>
#include <primroselead/follow.h>

/*
 * VMs that are registered in the store, and the registration of this VM there;
 * used only if routes come from the platform's manifest.
 */

struct control;

struct registry {
	struct store_follower vm;
	/** The store may lack this VM's entry: the registered VMs are to be
	 * listed, also by a VM that leaves reading to others. */
	int own_entry_unchecked;
	/** Registered VMs other than this one: struct fleet_vm by name. */
	GHashTable *vms;
	/** When registered VMs that are not live are probed next. */
	int64_t next_probe_ms;
	/**
	 * Registration of this VM: the call that writes its entry, and the
	 * version of that entry in the store (0 if there is none).
	 */
	struct store_call register_call;
	int registering;
	int registered;
	int64_t own_version;
	struct backoff register_backoff;
};

void registry_init(struct control *c);

/** Lists the registered VMs when due, and registers this VM once it can serve.
 */
void registry_tick(struct control *c, int64_t now);

/** Looks for this VM's entry, since the store returned from a copy that may
 * lack it. */
void registry_handle_return(struct control *c, int64_t now);

/** Removes this VM's entry from the store. */
void registry_deregister(struct control *c);

/** Cancels the pending calls to the store and frees the state. */
void registry_finish(struct control *c);

#endif
