#ifndef PRIMROSELEADD_KEPT_QUARANTINES_H
#define PRIMROSELEADD_KEPT_QUARANTINES_H

#include "backoff.h"
#include <primroselead/follow.h>
#include <primroselead/hash.h>

/*
 * Requests in quarantine that the store keeps: for a fleet that is started
 * anew, for operators, who clear them there, and for trials, of which a
 * conditional write allows one for all VMs.
 */

struct control;

/** What the store is asked about one request. */
struct kept_errand {
	struct store_call call;
	/** Text of the object that is written. */
	char *value;
	struct prl_hash128 digest;
	/** The object opens a trial here. */
	int is_trial;
	int active;
};

struct kept_quarantines {
	/** Lists the objects in the store. */
	struct store_follower follower;
	struct kept_errand errand;
	struct backoff backoff;
};

void kept_quarantines_init(struct control *c);

/** Starts the calls to the store that are due; "active" is the number of
 * requests in quarantine that this VM knows. */
void kept_quarantines_tick(struct control *c, int active, int64_t now);

void kept_quarantines_finish(struct control *c);

#endif
