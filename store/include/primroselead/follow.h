#ifndef PRIMROSELEAD_FOLLOW_H
#define PRIMROSELEAD_FOLLOW_H

#include <primroselead/store.h>

/*
 * A follower keeps up with the objects of one kind: it lists them, then watches
 * for changes from the list's revision on, and lists again when the store no
 * longer has the history after that revision. It makes one call at a time and
 * retries failed calls with an exponential delay. Times "..._ms" are those of
 * prl_now_ms.
 */

/** Changes that a follower reports. A list is LIST_BEGIN, a PUT for each object
 * and LIST_END; single PUT and REMOVE changes follow. */
enum store_change {
	/** A complete list follows; known objects that are not in it were
	 * removed. */
	STORE_CHANGE_LIST_BEGIN,
	STORE_CHANGE_PUT,
	STORE_CHANGE_REMOVE,
	/** The list is complete. */
	STORE_CHANGE_LIST_END,
};

/** A follower; the caller owns the memory and sets the callbacks, ctx and
 * poll_interval_ms after store_follower_init. */
struct store_follower {
	struct store *store;
	char kind[STORE_KEY_MAX];
	/** Called for each change. "name" and "o" are null for LIST_BEGIN and
	 * LIST_END; the object of a REMOVE has an empty value. */
	void (*on_change)(struct store_follower *f, enum store_change change,
			  const char *name, const struct store_object *o);
	/** Called with "up" 0 and the error at the first failed call, and with
	 * "up" 1 and null at the first success after it; may be null. */
	void (*on_reachability)(struct store_follower *f, int up,
				const struct prl_error *why);
	void *ctx;
	/** If not 0, the follower does not watch but lists again this long
	 * after each list. */
	int64_t poll_interval_ms;
	struct store_call call;
	int call_active;
	/** Set once a list was reported; "revision" is the version of the
	 * store up to which changes were reported. */
	int listed;
	int64_t revision;
	/** Number of failed calls since the last successful one. */
	int consecutive_failures;
	/** Time of the next call; PRL_NEVER until the next tick has chosen the
	 * delay after a failed call. */
	int64_t next_call_ms;
	/** When the store last confirmed what was reported: the time of the
	 * last successful call or, if its answer may have waited while the
	 * process stood still, a time before it came. 0 if there was none. */
	int64_t confirmed_ms;
	/** Time of the last tick. */
	int64_t last_tick_ms;
	/** Time of the last successful call that followed a failed one; 0 if
	 * there was none. */
	int64_t recovered_ms;
};

void store_follower_init(struct store_follower *f, struct store *s,
			 const char *kind);

/** Starts the next call if it is due. "random" adds jitter to the delay after a
 * failed call, so that many VMs do not retry at once. */
void store_follower_tick(struct store_follower *f, int64_t now,
			 uint64_t random);

/**
 * Notes that another VM, which also follows this kind, has the same objects as
 * this one, and that the store confirmed them at a time: complete up to the
 * version "revision". The next watch continues from there.
 */
void store_follower_confirm(struct store_follower *f, int64_t revision,
			    int64_t confirmed_ms);

/** Cancels the active call, if any. */
void store_follower_finish(struct store_follower *f);

#endif
