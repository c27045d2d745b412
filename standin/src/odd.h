#ifndef STANDIN_ODD_H
#define STANDIN_ODD_H

#include "request.h"

/** Header lines of a response from an upstream that ran the request, and of one
 * with a body of 12 bytes. */
#define STAMP_HEADER "X-Server-Stamp: 1.2.3\r\n"
#define COMPLETE_HEADERS STAMP_HEADER "Content-Length: 12\r\n"

/** Sends a response with the state that the upstream is in; "headers" are
 * further lines, each with its end. */
void odd_respond(const struct connection *conn, const char *status,
		 const char *id, const char *headers, const char *body);

#endif
