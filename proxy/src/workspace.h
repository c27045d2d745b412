#ifndef PROXY_WORKSPACE_H
#define PROXY_WORKSPACE_H

#include "request.h"

/*
 * Workspaces of routed requests. Where the manifest has workspaces, a request
 * on a route that is not public needs the key of one; the upstream gets the
 * workspace's name instead of the key. A VM that relays a request has judged
 * its key, and names the workspace in the same header.
 */

/** Finds the workspace of a request and applies its priority and its home
 * regions to what the route allows. Returns 1; or 0 after failing a request
 * without a valid key, or one that no region may serve. */
int workspace_accept(struct proxy_request *r, const struct steer_route *route);

/** Whether a header of the request has a key or names a workspace, so that it
 * is not passed on. */
int workspace_is_header(const struct proxy_request *r, const char *name);

/** Appends the header that names the workspace, if the request has one. */
void workspace_add_header(struct proxy_request *r);

#endif
