#ifndef PRIMROSELEADD_SOURCE_H
#define PRIMROSELEADD_SOURCE_H

#include "objects.h"
#include <primroselead/follow.h>

/*
 * Reads the platform's objects from the store for the replica, and knows how
 * recent the replica is; used only if routes come from the platform's manifest.
 */

struct control;

struct source {
	/** One follower for each kind of object. */
	struct store_follower manifest;
	struct store_follower upstream;
	struct store_follower evacuation;
	/** When the store last returned from a copy; 0 if it never did. */
	int64_t returned_ms;
	/** When the next seed is asked for its replica. */
	int64_t next_seed_pull_ms;
	/** The replica has once been complete, from the store or another VM. */
	int replica_complete;
	/** Whether this VM serves requests and takes part in the membership. */
	int ready;
};

void source_init(struct control *c);

/** Initializes a follower of one kind, whose changes are passed on with the
 * struct control as context. */
void source_init_follower(
	struct control *c, struct store_follower *f, const char *kind,
	void (*changed)(struct store_follower *f, enum store_change change,
			const char *name, const struct store_object *o));

/** Starts the calls to the store that are due, and marks this VM ready once its
 * replica is complete. */
void source_tick(struct control *c, int64_t now);

/**
 * Until when objects that are removed at a time count as present: longer if
 * they may be missing because of the store alone.
 */
struct objects_removal source_removal(const struct control *c, int64_t now);

/**
 * Whether the store has not confirmed the replica recently, so that another
 * VM's replica may be newer.
 */
int source_is_stale(const struct control *c, int64_t now);

/**
 * Whether the store may lack news of upstreams: the replica is stale, or the
 * store came back so recently that upstreams may not have written to it since.
 */
int source_lacks_news(const struct control *c, int64_t now);

/** When the store last confirmed the whole replica, in ms; 0 if it does not
 * answer this VM's calls. */
int64_t source_confirmed_ms(const struct control *c);

/** Notes that the replica equals that of another VM, which the store confirmed
 * at a time, up to a version. */
void source_confirm(struct control *c, int64_t version, int64_t confirmed_ms);

/** Notes that another VM's whole replica has been installed. */
void source_set_complete(struct control *c);

/** Cancels the pending calls to the store and frees the state. */
void source_finish(struct control *c);

#endif
