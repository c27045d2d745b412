#ifndef PRIMROSELEAD_PEER_TIMES_H
#define PRIMROSELEAD_PEER_TIMES_H

#include <primroselead/place.h>

/*
 * Times of relays to the VMs of other regions: the distance, and what packets
 * wait at the links of the VMs.
 */

/** Most VMs whose times are known at once. */
#define PLACE_PEERS_MAX 64

/** Time that relays to a VM take beside the time that the VM itself takes. */
struct place_peer_time {
	/** Id of the VM; 0 in an entry that is not used. */
	uint64_t id;
	int region;
	/** Moving average. */
	int64_t us;
	int64_t sampled_ms;
};

/** Times of relays to other VMs. All zero is the initial state. */
struct place_peer_times {
	struct place_peer_time peer[PLACE_PEERS_MAX];
	/** Least time of each region in the last seconds. */
	struct place_average least[STEER_REGIONS_MAX];
};

/** Records the time of one relay. */
void place_peer_times_record(struct place_peer_times *t, uint64_t id,
			     int region, int64_t us, int64_t now_ms);

/** Fills the ids of the VMs of a region whose links delay relays at present, so
 * that more relays would delay those VMs' callers. Returns their number. */
int place_peer_times_list_slow(const struct place_peer_times *t, int region,
			       int64_t now_ms, uint64_t id[PLACE_PEERS_MAX]);

#endif
