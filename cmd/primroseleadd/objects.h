#ifndef PRIMROSELEADD_OBJECTS_H
#define PRIMROSELEADD_OBJECTS_H

#include <primroselead/inventory.h>
#include <primroselead/spread.h>

/*
 * Installs the platform's objects in the inventory: the manifest, upstreams and
 * evacuations, from wherever the replica got them.
 */

struct control;

/** Objects of the platform, by kind. */
struct objects {
	struct inventory inventory;
	/** Why the newest version of the manifest could not be used, or which
	 * of its parts this VM goes without; empty if all is in force. */
	char manifest_problem[FLEET_LEFT_OUT_MAX];
	/** Upstreams and services that the last view goes without. */
	int nupstream_left_out;
};

/** Initializes an inventory that knows the settings' failure domains. */
void objects_init(struct control *c);

/** Whether a key belongs to one of the kinds. */
int objects_has_kind(const char *key);

/** Value of an entry that names nothing. */
#define OBJECTS_UNREADABLE_VALUE "0"

/** Whether a value is longer than any entry of its kind that names something.
 * It would not fit the messages to other VMs. */
int objects_is_oversized(const char *key, size_t len);

/** Times at which removed objects cease to count as present. */
struct objects_removal {
	int64_t upstream_ms;
	int64_t evacuation_ms;
};

/** Installs one changed object of the replica. */
void objects_apply(struct control *c, const struct spread_object *o,
		   const struct objects_removal *removal);

/** Removes the objects whose time has come. */
void objects_tick(struct control *c, int64_t now);

/** Frees the inventory. */
void objects_finish(struct control *c);

#endif
