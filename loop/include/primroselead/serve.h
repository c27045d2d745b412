#ifndef PRIMROSELEAD_SERVE_H
#define PRIMROSELEAD_SERVE_H

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
	/** Memory pool of one connection, for request and response headers, in
	 * bytes. */
	size_t connection_memory_bytes;
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

/** An HTTP listener run by one event loop. Several listeners may share an
 * address. Paths and arguments are not percent-decoded. */
struct serve {
	struct MHD_Daemon *mhd;
	struct loop *loop;
	struct loop_fd fd;
	struct loop_timer timer;
	void (*report)(void *ctx, const char *text);
	void *ctx;
	int quiesced;
};

/** Starts listening. Returns PRL_OK, or PRL_E_IO if the address is not valid or
 * can't be listened on. */
enum prl_code serve_init(struct serve *s, struct loop *l,
			 const struct serve_options *o, struct prl_error *err);

/** Closes the listener and every connection. */
void serve_finish(struct serve *s);

/** Resumes a suspended connection in the next round of the loop. */
void serve_resume(struct serve *s, struct MHD_Connection *conn);

/** Stops accepting connections; open connections are still served. */
void serve_quiesce(struct serve *s);

/** Returns the number of open connections. */
unsigned int serve_connection_count(const struct serve *s);

#endif
