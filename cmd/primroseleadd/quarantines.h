#ifndef PRIMROSELEADD_QUARANTINES_H
#define PRIMROSELEADD_QUARANTINES_H

#include "backoff.h"
#include <primroselead/follow.h>
#include <primroselead/hash.h>
#include <primroselead/wire.h>

/*
 * Spreads what is known of requests that end upstreams: to the other VMs as
 * news, and again by samples, since messages may be lost; and to the store,
 * which keeps those in quarantine for a fleet that is started anew, and by
 * which operators clear them.
 */

struct control;

/** What the store is asked about one request. */
struct quarantines_errand {
	struct store_call call;
	/** Text of the object that is written. */
	char *value;
	struct prl_hash128 digest;
	/** The object opens a trial here. */
	int is_trial;
	int active;
};

struct quarantines {
	/** Lists the objects in the store. */
	struct store_follower follower;
	struct quarantines_errand errand;
	struct backoff backoff;
	int64_t next_news_ms;
	int64_t next_sample_ms;
	int64_t next_seed_ms;
	/** The store's records or those of another VM have been read. */
	int loaded;
};

void quarantines_init(struct control *c);

/** Whether this VM knows which requests are in quarantine, or need not wait any
 * longer to learn that. */
int quarantines_ready(const struct control *c, int64_t now);

/** An upstream that ended under a request. */
struct quarantines_crash {
	const struct prl_hash128 *digest;
	uint64_t head;
	uint64_t upstream_id;
	const char *instance;
	const char *about;
};

void quarantines_note_crash(struct control *c,
			    const struct quarantines_crash *crash);

/** Handles records of another VM, and replies. */
void quarantines_handle_call(struct control *c, const struct wire_request *r,
			     const struct wire_quarantine *from);

void quarantines_tick(struct control *c, int64_t now);

void quarantines_finish(struct control *c);

#endif
