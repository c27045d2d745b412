#ifndef PRIMROSELEAD_STEER_PEER_H
#define PRIMROSELEAD_STEER_PEER_H

#include <primroselead/steer.h>

/*
 * Choice of the VM to which this one relays a request.
 */

/** Request for a VM that is to take over a request. */
struct steer_peer_request {
	/** Hash of the service's name. */
	uint64_t service;
	/** Bit mask of the regions that the VM may be in; 0 means all. */
	uint32_t region_mask;
	/** Ids of VMs that are not to be chosen. */
	const uint64_t *avoided;
	int navoided;
	uint64_t random;
};

/**
 * Chooses at random an active VM, other than this one, that is not isolated
 * from the service: of this VM's failure domain if that has two of them, else
 * of its region if that has two, else of any region. So the nearest VMs take
 * the requests, and never a single one as long as there are others. Returns its
 * index, or STEER_NONE.
 */
int steer_choose_peer(const struct steer_view *v,
		      const struct steer_peer_request *req);

/**
 * Chooses an active VM of a region that is not isolated from the service, of a
 * failure domain in it if that has one: one of two, by rendezvous hashing of
 * this VM's id, so that few connections carry many requests and all VMs of the
 * region get their part. Ignores the region mask. Returns the VM's index, or
 * STEER_NONE.
 */
int steer_choose_region_peer(const struct steer_view *v,
			     const struct steer_peer_request *req, int region,
			     int domain);

#endif
