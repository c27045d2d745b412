#ifndef PRIMROSELEADD_CRASHES_H
#define PRIMROSELEADD_CRASHES_H

#include <glib.h>

/*
 * Finds out whether an upstream has ended whose connection broke under a
 * request. A connection may break for other reasons, which must not be put down
 * to the request: a link, a reset, a response that was lost. So the upstream is
 * asked at once: one that refuses connections has ended, one that answers a
 * health check has not. If neither is known, as with a service that has no
 * health check, the upstream has ended if its entry goes soon.
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
