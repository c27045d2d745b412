#ifndef PROXY_TEST_CALLER_H
#define PROXY_TEST_CALLER_H

#include <stddef.h>

/*
 * A caller that reads responses strictly, byte by byte, so that a test sees
 * what was framed as complete. It keeps its connection as long as the VM does.
 */

#define CALLER_BODY_MAX 8192

/** What a caller received. */
struct caller_response {
	/** 0 if no complete head arrived. */
	int status;
	/** The whole response arrived, by its own framing. */
	int is_complete;
	/** More bytes came than its framing has. */
	int has_surplus;
	int has_stamp;
	char id[64];
	char outcome[16];
	/** A field that is only for upstreams was passed on. */
	int has_attempt_id;
	/** First bytes of the body, and the length of all of it. */
	char body[CALLER_BODY_MAX];
	size_t body_len;
};

/** A caller's connection; empty when zeroed but for the port. */
struct caller {
	int port;
	/** The caller speaks HTTP/1.0, which knows no chunks. */
	int is_http_1_0;
	/** Long bodies are sent in chunks. */
	int sends_chunks;
	/** 0 while there is no connection. */
	int fd;
	/** Further fields of requests, each with its line end; may be null. */
	const char *fields;
};

/** Sends a request and reads its response. "body_len" bytes are sent as a body
 * if the method is POST. */
void caller_request(struct caller *c, const char *method, const char *path,
		    const char *id, size_t body_len,
		    struct caller_response *out);

/** Closes the connection. */
void caller_finish(struct caller *c);

#endif
