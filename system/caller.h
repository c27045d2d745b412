#ifndef SYSTEM_CALLER_H
#define SYSTEM_CALLER_H

#include <stddef.h>
#include <stdint.h>

/*
 * A caller that sends one request at a time over a connection that it keeps,
 * and records what became of each. Times are on the clock of prl_now_ms.
 */

/** How a call ended. */
enum call_end {
	/** A complete response. */
	CALL_ANSWERED,
	/** The connection ended before the response did. */
	CALL_BROKEN,
	/** Nothing could be sent: no connection, or it had been closed. */
	CALL_UNSENT,
};

/** A request and what became of it. */
struct call {
	char id[32];
	const char *path;
	enum call_end end;
	/** When its last byte was sent. */
	int64_t sent_ms;
	int64_t ended_ms;
	/** Of the response; 0, empty and -1 if there is none. */
	int status;
	char outcome[16];
	double retry_after_s;
	/** The response says Connection: close. */
	int closes;
	int has_server_stamp;
};

/** A request to send. */
struct call_request {
	const char *method;
	const char *path;
	/** Further header lines, each ended by CRLF; null for none. */
	const char *headers;
	/** Length of the body. */
	int body_bytes;
	/** From the end of the head until the end of the body, in ms. */
	int body_after_ms;
};

/** Connection of a caller; "fd" is -1 while there is none. */
struct caller {
	int port;
	int fd;
	/** First part of the ids of its requests, and their number so far. */
	const char *name;
	int ncall;
};

void caller_init(struct caller *c, int port, const char *name);

void caller_close(struct caller *c);

/** Sends a request, over a new connection if there is none, and waits for the
 * response. Closes the connection unless it can be used again. */
struct call caller_send(struct caller *c, const struct call_request *req);

#endif
