#ifndef PROXY_SOCKETS_H
#define PROXY_SOCKETS_H

#include <glib.h>
#include <stdint.h>

/*
 * Open sockets of a thread's connections to upstreams, looked up by the
 * endpoints of the connection. Before libcurl reuses a connection it reports
 * only the endpoints, and it also reuses one on which unsolicited response
 * bytes have arrived while it was idle; the table finds the socket to check.
 */

/** One socket. */
struct proxy_socket {
	int fd;
	/** Hash of both endpoints; 0 until the socket is connected. */
	uint64_t endpoint_hash;
	/** Requests that were sent over it. */
	int uses;
	/** A response over it has named the attempt that it answers. */
	int names_attempts;
	/** Answers to requests that may be sent again (struct socket_answer);
	 * null before the first one. */
	GArray *answers;
	/** Not reused, since it has had more of them than are remembered. */
	int is_worn;
};

/** A request, by the hash of its id, that was answered over a connection, and
 * until when it may be sent again. */
struct socket_answer {
	uint64_t id_hash;
	int64_t until_ms;
};

/** Such answers that are remembered of one connection; after more within their
 * time, it is not reused. */
#define SOCKET_ANSWERS_MAX 64

/** Sockets that are remembered after they were closed. */
#define SOCKETS_CLOSED_MAX 64

/** Table of sockets; empty when zeroed. */
struct proxy_sockets {
	/** Endpoint hashes of the last sockets that were closed with bytes that
	 * the peer had not acknowledged. */
	uint64_t unacked[SOCKETS_CLOSED_MAX];
	unsigned int nunacked;
	struct proxy_socket *socket;
	int n;
	int allocated;
};

/** Returns the hash of a connection's endpoints, which is never 0. "ip" and
 * "port" are the remote ones. */
uint64_t sockets_hash_endpoints(const char *ip, int port, int local_port);

/** Adds a socket that is not connected yet. Returns 0, or -1 if out of memory.
 */
int sockets_add(struct proxy_sockets *s, int fd);

/** Sets the endpoint hash of a connected socket. */
void sockets_set_endpoints(struct proxy_sockets *s, int fd,
			   uint64_t endpoint_hash);

/** Removes a socket that is about to be closed, if it is in the table. */
void sockets_remove(struct proxy_sockets *s, int fd);

/** Whether a socket that was closed lately had sent bytes that its peer had not
 * acknowledged. */
int sockets_was_unacked(const struct proxy_sockets *s, uint64_t endpoint_hash);

/** Whether an idle connection must not be reused: unread bytes wait on its
 * socket, or the peer closed it. 1 also if that can't be checked, since no
 * socket in the table has this hash. */
int sockets_is_stale(const struct proxy_sockets *s, uint64_t endpoint_hash);

/** Counts a request that is about to be sent over a connection. Returns how
 * many it has carried then; 0 if the table has no such socket. */
int sockets_count_use(struct proxy_sockets *s, uint64_t endpoint_hash);

/** Notes that a response over a connection has named its attempt, so that all
 * others do. */
void sockets_set_names_attempts(struct proxy_sockets *s,
				uint64_t endpoint_hash);

/** Whether that was noted; 0 if the table has no such socket. */
int sockets_names_attempts(const struct proxy_sockets *s,
			   uint64_t endpoint_hash);

/** Notes that a request was answered over a connection, and may be sent again
 * until then. A late copy of the answer has the request's id. */
void sockets_note_answer(struct proxy_sockets *s, uint64_t endpoint_hash,
			 uint64_t id_hash, int64_t until_ms, int64_t now_ms);

/** Whether that was noted of a request and a connection, so that a copy of the
 * answer could not be told from the answer to another sending. */
int sockets_has_answered(const struct proxy_sockets *s, uint64_t endpoint_hash,
			 uint64_t id_hash, int64_t now_ms);

/** Frees the table. */
void sockets_finish(struct proxy_sockets *s);

#endif
