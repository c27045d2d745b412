#ifndef PROXY_SOCKETS_H
#define PROXY_SOCKETS_H

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
};

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

/** Frees the table. */
void sockets_finish(struct proxy_sockets *s);

#endif
