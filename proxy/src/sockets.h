#ifndef PROXY_SOCKETS_H
#define PROXY_SOCKETS_H

#include <stdint.h>

/*
 * The open sockets of a thread's connections to upstreams, found by the ends
 * of the connection. libcurl names a connection that it uses again by its ends
 * alone, and takes one on which bytes of an answer that nobody asked for have
 * come in the meantime.
 */

/** One socket. */
struct proxy_socket {
	int fd;
	/** Hash of both ends; 0 until they are known. */
	uint64_t endpoint_hash;
};

/** All of them; empty when zero. */
struct proxy_sockets {
	struct proxy_socket *socket;
	int n;
	int allocated;
};

/** Hash of a connection's ends. */
uint64_t sockets_hash_endpoints(const char *ip, int port, int local_port);

/** Adds a socket whose ends aren't known yet. Returns 0, or -1 without
 * memory. */
int sockets_add(struct proxy_sockets *s, int fd);

/** Notes the ends of a socket once it is connected. */
void sockets_set_endpoints(struct proxy_sockets *s, int fd, uint64_t ends);

/** Takes a socket out. */
void sockets_remove(struct proxy_sockets *s, int fd);

/** Whether bytes wait on the socket with these ends, or it has ended; 0 if it
 * isn't known. */
int sockets_is_stale(const struct proxy_sockets *s, uint64_t ends);

/** Frees the table. */
void sockets_finish(struct proxy_sockets *s);

#endif
