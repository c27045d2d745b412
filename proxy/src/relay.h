#ifndef PROXY_RELAY_H
#define PROXY_RELAY_H

#include "request.h"
#include <primroselead/steer_peer.h>

/*
 * Relays: a request of a service of which this VM reaches no upstream is sent
 * to another VM, which treats it as its own, within its own limits, but never
 * relays it again. The other VM tells by the header Request-Outcome whether the
 * request ran.
 */

/** Whether the attempts of this thread, or of this VM as a whole, reach no
 * upstream of the request's service. */
int relay_is_isolated(const struct proxy_request *r);

/** Chooses a VM to relay the request to, if it may be relayed and should be:
 * this VM is isolated, or the last attempt found no connection as did many
 * others. Returns 1 with r->hop set, or 0. */
int relay_reserve(struct proxy_request *r);

/** Whether a request whose last attempt certainly did not run is to be relayed
 * next. */
int relay_may_follow(const struct proxy_request *r);

/** Whether the request may go to another VM at all. */
int relay_is_allowed(const struct proxy_request *r);

/** Fills a request for the VM to relay to. Its list of avoided VMs is
 * "avoided", and has to live as long. */
void relay_fill_peer_request(const struct proxy_request *r,
			     uint64_t avoided[PROXY_AVOIDED_MAX],
			     struct steer_peer_request *out);

/** Makes a VM, given by its index, that of the next attempt. */
void relay_set_peer(struct proxy_request *r, int i);

/** Relays nothing to the VM of the last attempt for the next seconds. */
void relay_avoid_peer(struct proxy_request *r);

/** Whether a header belongs to the protocol between VMs, so that neither a
 * caller's is sent to a VM nor a VM's to an upstream. */
int relay_is_header(const char *name);

/** Appends the headers that tell the other VM about the request. */
void relay_add_headers(struct proxy_request *r);

/** Adds to the response that this VM did not reach an upstream, so that the
 * request is sent to another VM. */
void relay_add_out_of_reach(struct proxy_request *r);

/** Reads one header line of the other VM's response, "name: value". */
void relay_parse_header(struct proxy_request *r, const char *line);

/** Returns what a complete response head of the other VM means. */
enum verdict relay_verdict(const struct proxy_request *r);

/** Handles the end of a transfer to another VM. */
void relay_done(struct proxy_request *r, CURLcode result);

/** Checks a request that another VM relayed and limits its attempts. Returns 1;
 * or 0 after rejecting one that comes from elsewhere. */
int relay_accept(struct proxy_request *r);

/** Returns the workspace that the VM names which relayed a request that was
 * accepted; null if it names none, so that the caller's key is to be judged. */
const char *relay_workspace(const struct proxy_request *r);

#endif
