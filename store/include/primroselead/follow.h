#ifndef PRIMROSELEAD_FOLLOW_H
#define PRIMROSELEAD_FOLLOW_H

#include <primroselead/store.h>

/*
 * Follows the objects of one kind: a list, then watches from its revision on;
 * a list again when the store has dropped its history. One call at a time.
 */

/** What a follower reports, in this order: a list as BEGIN, one PUT an object
 * and END; later PUT and GONE. */
enum store_change {
	/** A whole list follows; what it lacks was removed. */
	STORE_CHANGE_LIST_BEGIN,
	STORE_CHANGE_PUT,
	STORE_CHANGE_REMOVE,
	/** The list is whole. */
	STORE_CHANGE_LIST_END,
};

/** A follower; the caller owns the memory. */
struct store_follower {
	struct store *store;
	char kind[STORE_KEY_MAX];
	/** Gets each change; name and object are null for BEGIN and END. */
	void (*on_change)(struct store_follower *f, enum store_change change,
			  const char *name, const struct store_object *o);
	/** Told when calls begin or cease to fail; may be null. */
	void (*on_reachability)(struct store_follower *f, int up,
				const struct prl_error *why);
	void *ctx;
	/** Set: a list again this long after the last one, no watches. */
	int64_t poll_interval_ms;
	struct store_call call;
	int call_active;
	/** A list was taken in, and the revision seen since. */
	int listed;
	int64_t revision;
	/** Calls that failed since the last one that did not. */
	int consecutive_failures;
	int64_t next_call_ms;
	/** When the store last confirmed what was reported; 0 if never. */
	int64_t confirmed_ms;
	/** When it last began to answer again after failures; 0 if never. */
	int64_t recovered_ms;
};

/** Prepares a follower of a kind. */
void store_follower_init(struct store_follower *f, struct store *s,
			 const char *kind);

/** Begins the call that is due; "random" spreads the tries of many VMs. */
void store_follower_tick(struct store_follower *f, int64_t now,
			 uint64_t random);

/** Ends the call under way. */
void store_follower_finish(struct store_follower *f);

#endif
