#ifndef PROXY_REGION_RELAY_H
#define PROXY_REGION_RELAY_H

#include "request.h"
#include <primroselead/place.h>

/*
 * Relays to a region: a request that is to run in another region is sent to a
 * VM there over a connection that is kept, and that VM places it in its own
 * region. So the request pays for the distance once instead of once more for a
 * connection to an upstream, and the VM that places it knows the upstreams'
 * load. The first VM counts the request for the shares and for the bound on
 * moves; each VM pays for its own retries. Built on relay.h.
 */

/** Chooses a VM in the planned region to send the request to, if that is
 * another one than this VM's, has such a VM and the bound on moves allows it.
 * Returns 1 with r->hop set, or 0. */
int region_relay_reserve(struct proxy_request *r,
			 const struct place_request *request, int planned);

/** Whether a header belongs to the requests or responses of these relays. */
int region_relay_is_header(const char *name);

/** Appends the headers that tell the other VM what to place, and where. */
void region_relay_add_headers(struct proxy_request *r);

/** Returns the maximum idle time, in s, of a connection to another VM that may
 * still be reused. */
long region_relay_idle_max_s(const struct proxy_request *r);

/** Whether the sender asks this VM to place the request in its region. */
int region_relay_is_requested(const struct proxy_request *r);

/** Takes the service that the sender has chosen. Returns 1; or 0 after refusing
 * a request that this VM can't place as the sender asks. */
int region_relay_accept(struct proxy_request *r);

/** Adds to an error response why this VM refuses the request and how often it
 * tried. */
void region_relay_add_refusal(struct proxy_request *r);

/** Adds to any response the time that this VM had the request. */
void region_relay_add_time(struct proxy_request *r);

/** Reads one header line of the other VM's response, "name: value". */
void region_relay_parse_header(struct proxy_request *r, const char *line);

/** Handles a refusal, after which the request certainly did not run. */
void region_relay_refused(struct proxy_request *r);

/** Handles a transfer that failed; r->outcome says whether the request may have
 * run. */
void region_relay_failed(struct proxy_request *r);

#endif
