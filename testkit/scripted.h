#ifndef TESTKIT_SCRIPTED_H
#define TESTKIT_SCRIPTED_H

#include <stddef.h>

/*
 * An HTTP server on a free port of loopback that sends the bytes that a test
 * gives for each request, whole or not, and counts which requests ran. It
 * serves each connection in a thread of its own.
 */

#define SCRIPTED_ID_MAX 64
#define SCRIPTED_BYTES_MAX 4096
#define SCRIPTED_TARGET_MAX 256
#define SCRIPTED_HEAD_MAX 4096

/** How the connection goes on after the bytes were sent. */
enum scripted_end {
	SCRIPTED_KEEP,
	SCRIPTED_CLOSE,
	SCRIPTED_RESET,
};

/** A request that has arrived. */
struct scripted_request {
	char method[16];
	char target[SCRIPTED_TARGET_MAX];
	char id[SCRIPTED_ID_MAX];
	/** Requests that came over its connection before, and the id of the
	 * last of them. */
	int uses_before;
	char id_before[SCRIPTED_ID_MAX];
	/** Value of Attempt-Id; empty if none. */
	char attempt_id[SCRIPTED_ID_MAX];
	/** The head without the line end that ends it, as far as there is room.
	 */
	char head[SCRIPTED_HEAD_MAX];
};

/** What the server does with a request. */
struct scripted_reply {
	char bytes[SCRIPTED_BYTES_MAX];
	size_t len;
	/** Bytes 'x' that follow them. */
	size_t fill_len;
	/** Sent "then_delay_ms" after the bytes; none if "then_len" is 0. */
	char then[SCRIPTED_BYTES_MAX];
	size_t then_len;
	int then_delay_ms;
	enum scripted_end end;
	/** Time before the end in which the request's body is not read, in ms.
	 */
	int end_delay_ms;
	/** The request runs. */
	int runs;
	/** Reply when the head of the request has come, without its body. */
	int is_early;
};

/** Starts the server. "reply" fills the reply to a request; it is called in the
 * connection's thread. Returns the port. */
int scripted_start(void (*reply)(const struct scripted_request *request,
				 struct scripted_reply *out));

/** Stops accepting connections. */
void scripted_stop(void);

/** Number of times that the request with an id ran, and that it arrived. */
int scripted_count_runs(const char *id);
int scripted_count_arrivals(const char *id);

/** Number of connections accepted so far. */
int scripted_count_connections(void);

/** Number of connections on which bytes arrived that are no request. */
int scripted_count_malformed(void);

/** Waits until no connection handles a request. */
void scripted_wait_idle(void);

#endif
