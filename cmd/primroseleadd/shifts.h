#ifndef PRIMROSELEADD_SHIFTS_H
#define PRIMROSELEADD_SHIFTS_H

#include <glib.h>

/* Steps of traffic shifts, which the VMs of a fleet write to the store. */

struct control;

struct shifts {
	/** Progress of each shift (struct shift_tracker) by service. */
	GHashTable *trackers;
};

/** Initializes the state without trackers. */
void shifts_init(struct control *c);

/** Writes the shift steps that are due. */
void shifts_tick(struct control *c, int64_t now);

/** Cancels the pending calls to the store and frees the trackers. */
void shifts_finish(struct control *c);

#endif
