#ifndef STANDIN_LONG_H
#define STANDIN_LONG_H

#include "request.h"

/** Whether a mode is one of long heads and bodies. */
int long_is_mode(const char *mode);

/** Responds with a long head or body, as the connection's mode says. Returns
 * whether the connection stays open. */
int long_respond(const struct connection *conn);

#endif
