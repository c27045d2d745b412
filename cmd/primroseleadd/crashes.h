#ifndef PRIMROSELEADD_CRASHES_H
#define PRIMROSELEADD_CRASHES_H

#include <glib.h>

/*
 * Finds out whether an upstream has ended whose connection broke under a
 * request. A connection may break for other reasons, which must not be put down
 * to the request: a link, a reset, a response that was lost. So the upstream is
 * asked for a connection at once: one that refuses has ended, one that accepts
 * has not. If neither is known in time, the upstream has ended if its entry
 * goes.
 */

struct control;
struct proxy_news;

/** Upstreams whose connections broke lately. */
struct crashes {
	/** struct crash_watch by id of the upstream's start. */
	GHashTable *watches;
};

void crashes_init(struct control *c);

/** Handles that a connection broke under a request. */
void crashes_handle_broken(struct control *c, const struct proxy_news *news);

/** Ends the watches whose time has come. */
void crashes_tick(struct control *c, int64_t now);

void crashes_finish(struct control *c);

#endif
