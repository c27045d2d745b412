#ifndef PRIMROSELEADD_QUARANTINES_H
#define PRIMROSELEADD_QUARANTINES_H

#include "kept_quarantines.h"
#include <primroselead/quarantine.h>
#include <primroselead/wire.h>

/*
 * Spreads what is known of requests that end upstreams to the other VMs: as
 * news, and again by samples, since messages may be lost.
 */

struct control;

struct quarantines {
	struct kept_quarantines kept;
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

/** Logs how a record has changed, unless it has not. "instance" is the upstream
 * that ended, and "about" the request; both may be empty. */
void quarantines_log_change(const struct prl_hash128 *digest,
			    enum quarantine_change change, const char *from,
			    const char *instance, const char *about);

/** Handles records of another VM, and replies. */
void quarantines_handle_call(struct control *c, const struct wire_request *r,
			     const struct wire_quarantine *from);

void quarantines_tick(struct control *c, int64_t now);

void quarantines_finish(struct control *c);

#endif
