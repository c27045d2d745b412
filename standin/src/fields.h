#ifndef STANDIN_FIELDS_H
#define STANDIN_FIELDS_H

#include "request.h"

/** Sends a response whose body is the head of the request, as it came. Returns
 * 1 if the connection goes on, else 0. */
int fields_respond(struct connection *conn);

#endif
