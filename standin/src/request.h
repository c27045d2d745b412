#ifndef STANDIN_REQUEST_H
#define STANDIN_REQUEST_H

#include "faulty.h"
#include <stddef.h>

/* Reading of requests from a socket, by a thread for each connection. */

/** Maximum length of a request head, in bytes. */
#define REQUEST_HEAD_MAX 32768

/** A connection, the bytes read from it, and the head of its current request.
 * All fields but "fd" and "body_bytes" are zero at first. */
struct connection {
	int fd;
	/** Counts the bytes of bodies that were read. */
	_Atomic long long *body_bytes;
	char buf[REQUEST_HEAD_MAX];
	size_t buffered;
	/** Length of the request head at the start of buf. */
	size_t head_len;
	char method[16];
	char request_id[80];
	char expected_instance[80];
	/** Value of the header Crash-After-Ms; empty if it is absent. */
	char crash_after_ms[16];
	/** Last segment of the path. */
	char mode[32];
	long long content_length;
	int chunked;
	/** 1 if included in the number of open connections. */
	int counted;
	/** Part of an earlier response, to be sent when a request arrives. */
	char pending[FAULTY_BYTES_MAX];
	size_t pending_len;
};

/** Reads and parses a request head. Returns 0, or -1 if the connection ends or
 * the head is too long. */
int request_read_head(struct connection *conn);

/** Reads and discards the head and the body. Returns 0, or -1 if the connection
 * ends within them. */
int request_discard_body(struct connection *conn);

/** Sends bytes to a socket, as far as the other side takes them. */
void request_send(int fd, const char *bytes, size_t len);

/** Sends a text again and again until the connection closes. Returns the number
 * of bytes. */
long long request_repeat(const struct connection *conn, const char *text);

#endif
