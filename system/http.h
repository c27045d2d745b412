#ifndef SYSTEM_HTTP_H
#define SYSTEM_HTTP_H

#include <stddef.h>

/* HTTP client of the system tests. */

/** Response to a request. */
struct http_response {
	/** HTTP status code; 0 if no complete response arrived. */
	int status;
	/** Value of the header Request-Outcome; empty if it is absent. */
	char outcome[16];
	/** Value of the header First-Status; 0 if it is absent. */
	int first_status;
	/** Value of the header Retry-After, in seconds; negative if it is
	 * absent. */
	double retry_after_s;
	/** 1 if the header X-Server-Stamp, which upstreams set, is present. */
	int has_server_stamp;
	/** Null-terminated body, truncated to the size of the buffer. */
	char body[8192];
	size_t body_len;
};

/** Request to send. All fields except "url" may be zero. */
struct http_request {
	/** Default: POST with "body", PUT with "upload_bytes", else GET. */
	const char *method;
	const char *url;
	/** Header Host. */
	const char *host;
	/** Header Idempotency-Key. */
	const char *idempotency_key;
	/** Null-terminated text. */
	const char *body;
	/** Null-terminated array of further header lines. */
	const char *const *headers;
	/** Length of a body of zero bytes to send in place of "body". */
	long long upload_bytes;
	/** Rate limit of the upload; 0 for no limit. */
	long upload_bytes_per_s;
	/** Limit for the whole exchange; 0 for 15 s. */
	long timeout_ms;
};

/** Sends a request and waits for the response. */
struct http_response harness_send_request(const struct http_request *req);

/** Connects to a TCP port on loopback. Returns the socket, or -1. */
int harness_connect(int port);

/** Sends a GET request. Returns the HTTP status code, or 0 if no complete
 * response arrived within 15 s. Copies up to size - 1 bytes of the body,
 * null-terminated. */
int harness_get(const char *url, char *out, size_t size);

#endif
