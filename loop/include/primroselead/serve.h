#ifndef PRIMROSELEAD_SERVE_H
#define PRIMROSELEAD_SERVE_H

#include <microhttpd.h>
#include <primroselead/loop.h>

/** What an HTTP listener is made of. */
struct serve_options {
	/** IP number and port to listen on. */
	const char *address;
	/** Most open connections. */
	unsigned int connections;
	/** Idle time after which a connection is closed, in seconds. */
	unsigned int idle_s;
	/** Memory of one connection for headers and answer, in bytes. */
	size_t connection_bytes;
	/** May be null. Gets each request's target as it came, before anything
	 * else; what it returns is the request's state at the first call of
	 * "handle". */
	void *(*begin)(void *ctx, const char *target,
		       struct MHD_Connection *conn);
	MHD_AccessHandlerCallback handle;
	MHD_RequestCompletedCallback completed;
	void *ctx;
};

/** An HTTP listener run by one loop. Several may share one address. Paths and
 * arguments reach the handler as they came, without any unescaping. */
struct serve {
	struct MHD_Daemon *mhd;
	struct loop *loop;
	struct loop_fd fd;
	struct loop_timer timer;
	int quiesced;
};

/** Starts listening. Returns PRL_OK or PRL_E_IO. */
enum prl_code serve_init(struct serve *s, struct loop *l,
			 const struct serve_options *o, struct prl_error *err);

/** Closes the listener and every connection. */
void serve_finish(struct serve *s);

/** Goes on with a connection that was suspended. */
void serve_resume(struct serve *s, struct MHD_Connection *conn);

/** Stops accepting connections; those open go on. */
void serve_quiesce(struct serve *s);

/** Connections that are open. */
unsigned int serve_connections(const struct serve *s);

#endif
