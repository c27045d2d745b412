#ifndef PROXY_TEST_RESPONSES_H
#define PROXY_TEST_RESPONSES_H

#include <stddef.h>

/* The kinds of response that an upstream or another VM may give. */

/** Status that the caller gets for a whole response: any. */
#define RESPONSE_ANY_STATUS 0

/** Head fields, with the id of the request as %1$s and as %2$s the line by
 * which another VM says whether it ran. All ids have the same length. */
#define RESPONSE_ID "X-Request-Id: %1$s\r\n%2$s"
#define RESPONSE_STAMP "X-Server-Stamp: 1.2.3\r\n"
#define RESPONSE_OK "HTTP/1.1 200 OK\r\n"

/** Text of bodies, and its length. */
#define RESPONSE_BODY "answer to %1$s\n"
#define RESPONSE_BODY_BYTES 19

struct response_kind {
	const char *name;
	int is_head_request;
	/** Status of the response. */
	int status;
	/** Status that the caller gets if the response is whole; a refused
	 * request is served by the next upstream. */
	int caller_status;
	int runs;
	int has_body;
	int ends_with_connection;
	const char *text;
};

extern const struct response_kind response_kinds[];
extern const int response_nkind;

/** Formats the response to the request with an id; "is_peer" as another VM
 * gives it. Returns its length. */
size_t response_format(const struct response_kind *k, const char *id,
		       int is_peer, char *out, size_t size);

/** Length of a response of this kind. */
size_t response_length(const struct response_kind *k, int is_peer);

/** The kind of a response without any fault to a request with this method. */
const struct response_kind *response_plain(const char *method);

#endif
