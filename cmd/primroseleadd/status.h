#ifndef PRIMROSELEADD_STATUS_H
#define PRIMROSELEADD_STATUS_H

#include <stdint.h>

/* Status page of this VM. */

struct control;

struct status {
	/**
	 * Earliest time of the next update of the page if it has been
	 * requested, and if it has not.
	 */
	int64_t due_ms;
	int64_t idle_due_ms;
};

/** Publishes the status as JSON to the traffic threads when it is due. */
void status_tick(struct control *c, int64_t now);

#endif
