#ifndef PRIMROSELEADD_VM_LIST_H
#define PRIMROSELEADD_VM_LIST_H

#include <glib.h>
#include <primroselead/spread.h>

/*
 * The platform's list of VMs in the store, which says which of them are leaving
 * or destroyed; used only with service files.
 */

struct control;

struct vm_list {
	/**
	 * Destroyed VMs: name to the time (int64_t) from which their capacity
	 * may be reclaimed.
	 */
	GHashTable *destroyed;
	/** The list contains entry VMs, so only listed VMs may join. */
	int has_entries;
	/**
	 * The list says that this VM was destroyed. Other VMs reclaim its
	 * capacity even if the list is wrong, so this VM uses none.
	 */
	int this_is_destroyed;
	/** HTTP addresses of the listed VMs, by name. */
	GHashTable *http;
};

void vm_list_init(struct control *c);

/** Applies one changed entry. Returns 1 if the services must be built again for
 * it, else 0. */
int vm_list_apply(struct control *c, const struct spread_object *o);

void vm_list_finish(struct control *c);

#endif
