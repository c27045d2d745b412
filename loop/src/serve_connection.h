#ifndef LOOP_SERVE_CONNECTION_H
#define LOOP_SERVE_CONNECTION_H

#include <primroselead/head_need.h>
#include <primroselead/serve.h>

/** Connections with the larger memory that are kept between requests, which
 * costs that memory each. */
#define SERVE_LARGE_KEPT_MAX 8

/** State of a caller's connection. */
enum serve_connection_state {
	/** Accepted; no daemon has it until its first head has come. */
	CONNECTION_NEW,
	/** Its daemon reads a request or answers it. */
	CONNECTION_BUSY,
	/** Suspended after an answer until the next head has come. */
	CONNECTION_PARKED,
	/** Suspended for good: another daemon has a copy of its descriptor. */
	CONNECTION_MOVED,
};

struct serve_connection {
	struct loop_fd fd;
	int is_watched;
	struct serve *serve;
	/** Null while it is new. */
	struct serve_tier *tier;
	/** Null until the daemon has begun with it. */
	struct MHD_Connection *mhd;
	enum serve_connection_state state;
	/** When a new or parked one is closed, or an incomplete head is read
	 * all the same. */
	int64_t deadline_ms;
	/** Part of a head waits. */
	int has_part;
	/** The rest of that head has not come in the usual time. */
	int is_late;
	/** The head waits until another connection gives up the larger memory.
	 */
	int awaits_room;
	/** When the present request began, and when it last made progress. */
	int64_t begun_ms;
	int64_t progress_ms;
	/** Bytes that the caller had taken when it last made progress by
	 * reading; -1 before they were looked at. */
	int64_t taken_bytes;
	/** The head of the present request has been handled; all of it has
	 * come. */
	int is_head_read;
	int is_received;
	/** Bytes of the requests so far; -1 if that is not known. */
	int64_t request_bytes;
	/** Length of the method that proves this; 0 if it is proved. */
	size_t method_len;
	/** In the list of those whose request has ended. */
	int has_ended;
	struct serve_connection *next_ended;
	/** Connection that this one was moved from; null if none. */
	struct serve_connection *moved_from;
	struct serve_connection *prev;
	struct serve_connection *next;
};

/** Accepts what waits at the listener. */
void connection_accept_all(struct serve *s);

/** A daemon has begun with the connection of a descriptor. */
struct serve_connection *connection_opened(struct serve *s,
					   struct MHD_Connection *mhd);

/** A daemon has closed the connection. */
void connection_closed(struct serve_connection *c);

/** The library has read the line of a request. */
void connection_begun(struct serve_connection *c);

/** The library has read the head of a request, "len" bytes of its body, or its
 * end. */
void connection_received(struct serve_connection *c, const char *method,
			 size_t len);

/** Returns how many bytes the caller has acknowledged; -1 if that is not known.
 */
int64_t connection_taken_bytes(const struct serve_connection *c);

/** Notes as progress what the caller has read of an answer. */
void connection_note_reading(struct serve_connection *c, int64_t now);

/** The request has ended. */
void connection_ended(struct serve_connection *c);

/** Parks the connections whose request has ended and that are still open. */
void connection_park_ended(struct serve *s);

/** Runs connection_sweep at a time, or earlier. */
void connection_wake_sweep(struct serve *s, int64_t deadline_ms);

/** Lets a new or parked connection wait for so long from now on. */
void connection_await(struct serve_connection *c, int ms);

/** Chooses the daemon for the requests that wait on a new or parked connection,
 * or goes on with the present one. "first_bytes" is as in head_need. */
void connection_proceed(struct serve_connection *c, enum head_need need,
			int64_t first_bytes);

/** Closes a connection that no daemon has. */
void connection_close_new(struct serve_connection *c);

/** Ends a parked or moved connection: the library finds it closed. */
void connection_end_suspended(struct serve_connection *c);

/** Whether another connection may have the larger memory. */
int connection_has_room(const struct serve *s);

/** Lets a head that waits for the larger memory go on. */
void connection_give_room(struct serve_connection *c);

/** Number of connections with the larger memory that are kept between requests.
 */
unsigned int connection_large_kept_max(const struct serve *s);

/** Closes what has been idle for too long, and lets the library read heads that
 * remain incomplete. */
void connection_sweep(struct serve *s, int64_t now);

/** Closes new connections and resumes suspended ones, so that the daemons can
 * be stopped. */
void connection_release_all(struct serve *s);

/** Frees what the daemons had not begun with as they were stopped. */
void connection_free_all(struct serve *s);

/** Returns a daemon with room for a connection of the usual memory. */
struct serve_tier *serve_usual_tier(struct serve *s);

/** Lets a daemon run in the next round of the loop. */
void serve_wake(struct serve_tier *t);

/** Watches the listener again, or no longer. */
void serve_listen(struct serve *s, int on);

#endif
