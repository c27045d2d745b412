#ifndef STANDIN_ENDLESS_H
#define STANDIN_ENDLESS_H

#include "request.h"

/** Sends a response without end, of the kind that the request's mode names,
 * until the connection closes. Returns the number of bytes. */
long long endless_respond(const struct connection *conn);

#endif
