/* Connections that wait: ends those that have waited for too long, and those
 * that hold without need what others wait for. */
#include "serve_connection.h"
#include <primroselead/clock.h>
#include <sys/socket.h>

/* Time for which a connection may hold what others wait for without progress,
 * and time between two looks for one, in ms. */
#define HOLD_MS 1000
#define RECLAIM_EVERY_MS 100

/* Connections that are ended at a time so that others are accepted. */
#define RECLAIM_MAX 16

static void expire(struct serve_connection *c)
{
	int is_late = c->is_late;

	c->is_late = 1;
	if (c->has_part && connection_has_room(c->serve))
		connection_proceed(c, HEAD_NEED_ROOM, -1);
	else if (c->has_part && !is_late)
		/* The rest may still come, and fit. */
		connection_await(c, c->serve->idle_ms);
	else if (c->state == CONNECTION_NEW)
		connection_close_new(c);
	else
		connection_end_suspended(c);
}

/* Whether a connection with a daemon holds its memory without need: its request
 * comes too slowly, or its answer is not read. A connection that waits for an
 * upstream is suspended. */
static int is_stalled(const struct serve_connection *c, int64_t since_ms,
		      int64_t now)
{
	return c->mhd && since_ms + HOLD_MS <= now &&
	       !MHD_get_connection_info(
			c->mhd, MHD_CONNECTION_INFO_CONNECTION_SUSPENDED)
			->suspended;
}

/* Whether others may take the connection's place: the larger memory, or that of
 * a connection at all. */
static int is_reclaimable(const struct serve_connection *c, int for_room,
			  int64_t now)
{
	switch (c->state) {
	case CONNECTION_NEW:
		return !for_room && !c->awaits_room &&
		       c->progress_ms + HOLD_MS <= now;
	case CONNECTION_PARKED:
		return !c->awaits_room && c->progress_ms + HOLD_MS <= now;
	case CONNECTION_BUSY:
		return is_stalled(c,
				  for_room && !c->is_received ? c->begun_ms
							      : c->progress_ms,
				  now);
	case CONNECTION_MOVED:
		break;
	}
	return 0;
}

static void end(struct serve_connection *c)
{
	switch (c->state) {
	case CONNECTION_NEW:
		connection_close_new(c);
		return;
	case CONNECTION_PARKED:
	case CONNECTION_MOVED:
		connection_end_suspended(c);
		return;
	case CONNECTION_BUSY:
		shutdown(c->fd.fd, SHUT_RDWR);
		serve_wake(c->tier);
		return;
	}
}

/* Ends the connection that has made no progress for longest, and that may be
 * ended for others. Returns 0 if there is none. */
static int reclaim(struct serve *s, int for_room, int64_t now)
{
	struct serve_connection *oldest = NULL;

	for (struct serve_connection *c = s->connections; c; c = c->next) {
		if ((for_room && c->tier != &s->large) ||
		    !is_reclaimable(c, for_room, now))
			continue;
		if (!oldest || c->progress_ms < oldest->progress_ms)
			oldest = c;
	}
	if (!oldest)
		return 0;
	/* Not chosen again before it has ended. */
	oldest->progress_ms = now;
	oldest->begun_ms = now;
	end(oldest);
	return 1;
}

static void sweep_connection(struct serve_connection *c, int64_t now)
{
	if (c->state != CONNECTION_NEW && c->state != CONNECTION_PARKED)
		return;
	if (c->awaits_room && connection_has_room(c->serve))
		connection_give_room(c);
	else if (c->deadline_ms <= now)
		expire(c);
	else
		connection_wake_sweep(c->serve, c->deadline_ms);
}

/* Looks what callers have read while others wait for their places. */
static void note_reading(struct serve *s, int64_t now)
{
	for (struct serve_connection *c = s->connections; c; c = c->next)
		connection_note_reading(c, now);
}

void connection_sweep(struct serve *s, int64_t now)
{
	struct serve_connection *next;

	if (s->nwaiting || s->nconnection >= s->connections_max)
		note_reading(s, now);
	if (s->nconnection < s->connections_max)
		serve_listen(s, 1);
	else
		for (int i = 0; i < RECLAIM_MAX && reclaim(s, 0, now); i++)
			;
	for (struct serve_connection *c = s->connections; c; c = next) {
		next = c->next;
		sweep_connection(c, now);
	}
	if (s->nwaiting && !connection_has_room(s))
		reclaim(s, 1, now);
	if (s->nwaiting || s->is_full)
		connection_wake_sweep(s, now + RECLAIM_EVERY_MS);
}

unsigned int connection_large_kept_max(const struct serve *s)
{
	unsigned int half = s->large_max / 2;

	return half < SERVE_LARGE_KEPT_MAX ? half : SERVE_LARGE_KEPT_MAX;
}
