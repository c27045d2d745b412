#ifndef PRIMROSELEAD_SERVE_H
#define PRIMROSELEAD_SERVE_H

#include <glib.h>
#include <microhttpd.h>
#include <primroselead/loop.h>

/** Options of an HTTP listener. */
struct serve_options {
	/** Numeric IP address and port to listen on. */
	const char *address;
	/** Maximum number of open connections. */
	unsigned int connections_max;
	/** Idle time after which a connection is closed, in seconds. */
	unsigned int idle_timeout_s;
	/** Memory of one connection, for the heads of its request and response,
	 * in bytes. */
	size_t connection_memory_bytes;
	/** Memory of a connection whose heads may not fit there; 0 if all
	 * connections have the same. */
	size_t large_memory_bytes;
	/** Connections with that memory at most; 0 for no bound of their own.
	 */
	unsigned int large_max;
	/** Called with the undecoded target of each request before any other
	 * callback; its result is the request's context at the first call of
	 * "handle". May be null. */
	void *(*begin)(void *ctx, const char *target,
		       struct MHD_Connection *conn);
	MHD_AccessHandlerCallback handle;
	MHD_RequestCompletedCallback completed;
	/** Called with a text, without a line end, when the listener closes a
	 * connection that it can't serve. May be null. */
	void (*report)(void *ctx, const char *text);
	void *ctx;
};

struct serve;

/** Connections of one of the library's daemons before another is started, and
 * most daemons for the usual memory. Whenever it resumes a connection the
 * library walks all suspended ones of its daemon. */
#define SERVE_DAEMON_CONNECTIONS 128
#define SERVE_DAEMONS_MAX 32

/** A library's daemon and the memory that each of its connections has. */
struct serve_tier {
	struct MHD_Daemon *mhd;
	/** Number of the daemon's connections. */
	unsigned int n;
	size_t memory_bytes;
	struct serve *serve;
	struct loop_fd fd;
	struct loop_timer timer;
};

struct serve_connection;

/**
 * An HTTP listener run by one event loop. Several listeners may share an
 * address. Paths and arguments are not percent-decoded.
 *
 * libmicrohttpd gives each connection of a daemon the same memory and clears
 * all of it after each request that the connection is kept for. So that heads
 * of all sizes cost memory only where they come, there are two kinds of
 * daemons: a connection belongs to one with less memory unless a head that
 * waits on it needs more. Between two requests it is suspended, and the bytes
 * that come are looked at before the library reads them.
 *
 * The number of connections is bounded, and so is the number of those with more
 * memory. A caller that finds no room waits, and takes the place of a
 * connection on which a request, or the reading of its answer, makes no
 * progress.
 */
struct serve {
	struct loop *loop;
	/** Its descriptor is -1 once the listener accepts no more. */
	struct loop_fd listener;
	/** Not accepting, since there are as many connections as allowed. */
	int is_full;
	/** Daemons for the usual memory; more are started as they fill. */
	struct serve_tier usual[SERVE_DAEMONS_MAX];
	int nusual;
	/** Without a daemon if all connections have the same memory. */
	struct serve_tier large;
	unsigned int connections_max;
	unsigned int large_max;
	unsigned int idle_timeout_s;
	size_t memory_bytes;
	int idle_ms;
	/** All connections, and by descriptor those that a daemon has. */
	struct serve_connection *connections;
	GHashTable *by_fd;
	/** Connections whose request has ended in this round. */
	struct serve_connection *ended;
	unsigned int nconnection;
	/** Connections whose head waits for the larger memory. */
	unsigned int nwaiting;
	/** Looks for connections that have been idle for too long. */
	struct loop_timer idle_timer;
	void *(*begin)(void *ctx, const char *target,
		       struct MHD_Connection *conn);
	MHD_AccessHandlerCallback handle;
	MHD_RequestCompletedCallback completed;
	void (*report)(void *ctx, const char *text);
	void *ctx;
	int is_finishing;
};

/** Starts listening. Returns PRL_OK, or PRL_E_IO if the address is not valid or
 * can't be listened on. */
enum prl_code serve_init(struct serve *s, struct loop *l,
			 const struct serve_options *o, struct prl_error *err);

/** Closes the listener and every connection. */
void serve_finish(struct serve *s);

/** Resumes a suspended connection in the next round of the loop. */
void serve_resume(struct serve *s, struct MHD_Connection *conn);

/** Closes a connection that is not suspended, whatever its caller does. */
void serve_close(struct MHD_Connection *conn);

/** Stops accepting connections; open connections are still served. */
void serve_quiesce(struct serve *s);

/** Returns the number of open connections. */
unsigned int serve_connection_count(const struct serve *s);

/** Returns the memory of a connection in bytes. */
size_t serve_connection_memory(struct MHD_Connection *conn);

/** Returns how many bytes a connection's caller has acknowledged, of all
 * answers so far; -1 if that is not known. */
int64_t serve_taken_bytes(struct MHD_Connection *conn);

/** Whether a connection is to be closed after its answer, since its memory is
 * more than can be kept between requests. */
int serve_is_costly(struct MHD_Connection *conn);

#endif
