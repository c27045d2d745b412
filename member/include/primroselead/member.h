#ifndef PRIMROSELEAD_MEMBER_H
#define PRIMROSELEAD_MEMBER_H

#include <glib.h>
#include <primroselead/address.h>
#include <primroselead/error.h>
#include <stdint.h>

/*
 * Failure detection and membership by the SWIM protocol (Das et al. 2002):
 * each period a VM probes one other VM, directly and then through others; a VM
 * that does not answer is suspected before it is declared dead, and refutes
 * with a higher incarnation number. State changes are piggybacked on the
 * probes and their acknowledgements. The load on a VM does not depend on the
 * size of the fleet. Does no I/O: the caller sends and receives the messages
 * and passes in random numbers and the time ("now" and the fields "..._ms" are
 * times of prl_now_ms).
 */

/** Size of a name, including the terminating null byte. */
#define MEMBER_NAME_MAX 64

/** Maximum number of members in one ranking. */
#define MEMBER_RANK_MAX 1024

/** Maximum number of updates piggybacked on one message. */
#define MEMBER_UPDATES_MAX 8

/** Maximum number of probes that one tick returns. */
#define MEMBER_PROBES_MAX 8

/** Capacity of the event queue, which drops new events when full, and of the
 * update queue, which drops the oldest update. */
#define MEMBER_EVENTS_MAX 256

/** State of a VM. Of two updates with the same incarnation, the one with the
 * greater value takes precedence. */
enum member_state {
	MEMBER_LIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING,
	MEMBER_DEAD,
};

/** State of a VM as VMs exchange it. */
struct member_vm {
	char name[MEMBER_NAME_MAX];
	char region[MEMBER_NAME_MAX];
	char domain[MEMBER_NAME_MAX];
	/** "host:port" addresses for HTTP and for RPC. */
	char http[PRL_ADDRESS_MAX];
	char rpc[PRL_ADDRESS_MAX];
	/** Raised by the VM itself when it restarts or refutes an update. */
	int64_t incarnation;
	enum member_state state;
};

/** A member and the local state that this VM keeps about it. */
struct member_peer {
	struct member_vm vm;
	/** Hash of the name; the member's key in rendezvous hashing. */
	uint64_t id;
	/** Time at which a suspected member is declared dead; PRL_NEVER if it
	 * is not suspected. */
	int64_t suspect_until_ms;
	/** Number of messages that still have to carry its latest state. */
	int transmissions_left;
	/** Sequence number of its last beat, as the caller notes it; 0 if none.
	 */
	int64_t last_beat;
};

enum member_probe_kind {
	/** Probes the receiver itself. */
	MEMBER_PROBE_DIRECT,
	/** Asks the receiver to probe "target" and to pass on its answer. */
	MEMBER_PROBE_INDIRECT,
};

/** A probe for the caller to send. */
struct member_probe {
	enum member_probe_kind kind;
	/** RPC address of the receiver. */
	char to[PRL_ADDRESS_MAX];
	/** RPC address to probe; empty for a direct probe. */
	char target[PRL_ADDRESS_MAX];
	/** Passed to member_handle_ack when the answer arrives. */
	int64_t sequence;
};

/** A state change, for logs and the audit trail. */
struct member_event {
	char name[MEMBER_NAME_MAX];
	enum member_state state;
	int64_t incarnation;
	/** Set if this VM itself was declared dead and has refuted it. */
	int refuted_death;
};

struct member_options {
	/** Time between two direct probes. */
	int64_t probe_period_ms;
	/** Time from suspicion to declaration of death. */
	int64_t suspicion_timeout_ms;
};

/** The membership as seen by one VM. The VM itself is peer 0. */
struct member_table {
	struct member_options options;
	struct member_peer *peer;
	int npeer;
	int peer_alloc;
	/** Index into "peer", plus 1, by name. */
	GHashTable *by_name;
	/** Peers in the order in which this round probes them; shuffled at the
	 * start of each round. */
	int *probe_order;
	int nprobe_order;
	int next_in_order;
	/** Peer that is being probed in this period, or -1. */
	int probe_target;
	/** Peer that this VM suspects and probes again next, or -1. */
	int retry_target;
	/** Sequence number of the current probe. */
	int64_t probe_sequence;
	int probe_acked;
	int indirect_sent;
	int64_t indirect_due_ms;
	int64_t period_end_ms;
	/** Peers whose state is still to be sent to others, oldest first. */
	int update_queue[MEMBER_EVENTS_MAX];
	int nupdate;
	struct member_event event[MEMBER_EVENTS_MAX];
	int nevent;
	/** Number of changes of the set of usable members (member_is_usable):
	 * a member joined, is leaving, died or was removed. Suspicion does not
	 * change the set. */
	uint64_t usable_changes;
	/** Number of times this VM was declared dead and refuted it: others may
	 * have taken over its capacity. Counted also if the events are full. */
	uint64_t refuted_deaths;
};

/** Initializes a table with this VM as the only member. Returns PRL_OK or
 * PRL_E_MEMORY. */
enum prl_code member_init(struct member_table *m, const struct member_vm *self,
			  const struct member_options *o,
			  struct prl_error *err);

void member_finish(struct member_table *m);

/** Runs the protocol up to "now". Fills the probes to send and returns their
 * number. */
int member_tick(struct member_table *m, int64_t now, uint64_t random,
		struct member_probe out[MEMBER_PROBES_MAX]);

/** Returns the time at which the next tick is due. */
int64_t member_next_tick_ms(const struct member_table *m);

/** Applies an update of a member that was received from another VM; an update
 * that is not newer than the known state is ignored. Returns PRL_OK or
 * PRL_E_MEMORY. */
enum prl_code member_apply_update(struct member_table *m,
				  const struct member_vm *vm, int64_t now);

/** Handles the acknowledgement of a probe, received directly or through another
 * VM. Any sequence number but the current probe's is ignored. */
void member_handle_ack(struct member_table *m, int64_t sequence);

/**
 * Selects the updates to piggyback on a message to an RPC address: first the
 * receiver's own state if it is suspected or dead, so that the receiver can
 * refute it; then queued updates, newest first; then random members. Returns
 * their number.
 */
int member_select_updates(struct member_table *m, const char *to,
			  uint64_t random,
			  struct member_vm out[MEMBER_UPDATES_MAX]);

/** Marks this VM as leaving and queues the update. */
void member_leave(struct member_table *m);

/** Removes a member whose VM the platform has destroyed. Does nothing for an
 * unknown name or for this VM itself. */
void member_remove(struct member_table *m, const char *name);

/** Returns a member by name, or null. The pointer is valid until members are
 * added or removed. */
const struct member_peer *member_find(const struct member_table *m,
				      const char *name);

/** Whether a member takes new work: it is live, or only suspected. */
int member_is_usable(const struct member_peer *p);

/** Whether an RPC address belongs to another member that is not dead. */
int member_has_address(const struct member_table *m, const char *rpc);

/** Removes the oldest event from the queue. Returns 1, or 0 if the queue is
 * empty. */
int member_pop_event(struct member_table *m, struct member_event *out);

/** Returns the name of a state as it is written to logs. */
const char *member_state_name(enum member_state state);

/**
 * Ranks the usable members of a failure domain (null: of all) for a topic by
 * rendezvous hashing. Fills at most "max", and at most MEMBER_RANK_MAX, indexes
 * into "peer", highest weight first, and returns their number. All VMs with the
 * same membership compute the same ranking.
 */
int member_rank(const struct member_table *m, const char *domain,
		uint64_t topic, int *out, int max);

/** Greatest position that member_spread_rank tells apart. */
#define MEMBER_SPREAD_MAX 16

/**
 * Returns the position of a peer, an index into "peer", in the order in which
 * the usable members of the whole fleet are chosen for a topic: the first of
 * each region by rendezvous hashing, then the second of each, and so on; "max"
 * (at most MEMBER_SPREAD_MAX) if it is not usable or not among the first "max".
 * All VMs with the same membership compute the same order.
 */
int member_spread_rank(const struct member_table *m, int peer, uint64_t topic,
		       int max);

#endif
