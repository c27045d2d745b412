#ifndef PRIMROSELEADD_READERS_H
#define PRIMROSELEADD_READERS_H

#include <glib.h>
#include <primroselead/spread.h>
#include <primroselead/wire.h>

/*
 * Which VMs read the manifest, the upstreams and the evacuations from the
 * store: a few of the fleet, in different regions. They push what has changed
 * to the others, and tell them by beats how recent their replica is. A VM that
 * hears no beats reads the store itself; so do the VMs of a fleet whose readers
 * are of a build that knows no beats.
 */

struct control;

struct readers {
	/** Part of this VM, and its position in the order in which VMs become
	 * readers. */
	enum spread_role role;
	int position;
	/** Whether this VM reads the store, as of the last tick. */
	int reading;
	struct spread_beats beats;
	/** Failure domains with a usable member. */
	GPtrArray *domains;
	/** Keys of objects that were read as changed and are to be pushed. */
	GPtrArray *changed;
	/** Sequence number of the last message that this VM sent as its origin.
	 */
	int64_t sequence;
	int64_t next_beat_ms;
	int64_t last_tick_ms;
};

void readers_init(struct control *c);

/** Determines this VM's part after a change of the membership. */
void readers_members_changed(struct control *c);

/** Sends what is due: changes and beats. */
void readers_tick(struct control *c, int64_t now);

/** Whether this VM has to read the store. */
int readers_reads_store(const struct control *c, int64_t now);

/** Notes an object that was read from the store and is new to this VM. */
void readers_note_change(struct control *c, const char *key);

/** Handles a beat that another VM sent or relayed. */
void readers_handle_beat(struct control *c, const struct wire_beat *b,
			 const char *from);

/** Installs changes that another VM pushed, and passes on what was new. */
void readers_handle_changes(struct control *c, const struct wire_request *r,
			    const struct wire_changes *changes);

/** Name of this VM's part, as in logs and the status. */
const char *readers_role_name(const struct control *c);

void readers_finish(struct control *c);

#endif
