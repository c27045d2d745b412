#ifndef PRIMROSELEADD_PEERS_H
#define PRIMROSELEADD_PEERS_H

#include <primroselead/codes.h>
#include <primroselead/steer.h>
#include <primroselead/wire.h>

/* Calls between VMs, and what follows from a change of the membership. */

struct control;

struct peers {
	/** member_table.refuted_deaths when it was last looked at. */
	uint64_t refuted_deaths;
	/** Change count of the membership that the other fields were computed
	 * from. */
	uint64_t changes_seen;
	/** Number of usable VMs by region, and in all regions. */
	int region_vms[STEER_REGIONS_MAX];
	int all_vms;
};

/**
 * Binds the RPC socket and initializes the membership. Returns PRL_OK, PRL_E_IO
 * or PRL_E_MEMORY.
 */
enum prl_code peers_init(struct control *c, struct prl_error *err);

/** Sends the probes that are due and processes membership changes. */
void peers_tick(struct control *c, int64_t now);

/**
 * Sends a call to all usable VMs, with retransmissions until they acknowledge
 * it or a short time has passed.
 */
void peers_broadcast(struct control *c, const struct wire_args *args);

/** Whether a call comes from the address of a member that is not dead. */
int peers_is_member(const struct control *c, const struct wire_request *r);

/**
 * Digest of this VM's replica; its revision is 0 until the replica is ready.
 */
struct wire_digest peers_digest(const struct control *c);

#endif
