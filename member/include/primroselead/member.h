#ifndef PRIMROSELEAD_MEMBER_H
#define PRIMROSELEAD_MEMBER_H

#include <glib.h>
#include <primroselead/address.h>
#include <primroselead/error.h>
#include <stdint.h>

/*
 * Which VMs are live, by probing one at a time, with suspicion before death
 * and incarnation numbers (SWIM, Das et al. 2002). The cost for a VM does not
 * depend on the size of the fleet. Pure: the caller passes the time and random
 * numbers in, and sends and receives the messages.
 */

#define MEMBER_NAME_MAX 64

/** Members that one ranking may list. */
#define MEMBER_RANK_MAX 1024

/** Members named in one message. */
#define MEMBER_UPDATES_MAX 8

/** Messages that one tick may ask for. */
#define MEMBER_PROBES_MAX 8

/** Events kept until they are taken; further ones are dropped. */
#define MEMBER_EVENTS_MAX 256

/** State of a VM; of two reports with one incarnation the later one here
 * counts. */
enum member_state {
	MEMBER_LIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING,
	MEMBER_DEAD,
};

/** What is told of a VM. */
struct member_vm {
	char name[MEMBER_NAME_MAX];
	char region[MEMBER_NAME_MAX];
	char domain[MEMBER_NAME_MAX];
	char http[PRL_ADDRESS_MAX];
	char rpc[PRL_ADDRESS_MAX];
	int64_t incarnation;
	enum member_state state;
};

/** A VM and what this one keeps about it. */
struct member_peer {
	struct member_vm vm;
	/** Hash of the name. */
	uint64_t id;
	/** When a suspected one is given up; else PRL_NEVER. */
	int64_t suspect_until_ms;
	/** Messages that still carry its state. */
	int transmissions_left;
};

/** What a message asks. */
enum member_probe_kind {
	MEMBER_PROBE_DIRECT,
	/** Asks the receiver to probe "target". */
	MEMBER_PROBE_INDIRECT,
};

/** A message to send. */
struct member_probe {
	enum member_probe_kind kind;
	char to[PRL_ADDRESS_MAX];
	char target[PRL_ADDRESS_MAX];
	int64_t sequence;
};

/** A change, for logs and the audit trail. */
struct member_event {
	char name[MEMBER_NAME_MAX];
	enum member_state state;
	int64_t incarnation;
	/** This VM itself was reported dead and has refuted it. */
	int refuted_death;
};

/** Periods of the protocol. */
struct member_options {
	int64_t probe_period_ms;
	int64_t suspicion_timeout_ms;
};

/** The membership as one VM sees it; the VM itself is peer 0. */
struct member_table {
	struct member_options options;
	struct member_peer *peer;
	int npeer;
	int peer_capacity;
	GHashTable *by_name;
	/** Order of probing, shuffled anew at each round. */
	int *probe_order;
	int nprobe_order;
	int next_in_order;
	/** The probe under way. */
	int probe_target;
	/** Suspected by this VM itself, and to be probed again; or -1. */
	int retry_target;
	int64_t probe_sequence;
	int probe_acked;
	int indirect_sent;
	int64_t indirect_due_ms;
	int64_t period_end_ms;
	/** Peers whose state is news. */
	int update_queue[MEMBER_EVENTS_MAX];
	int nupdate;
	struct member_event event[MEMBER_EVENTS_MAX];
	int nevent;
	/** Counts changes of the set of members that take work: who comes, who
	 * leaves, who dies. A suspicion is none of them. */
	uint64_t usable_changes;
};

/** Starts with this VM alone. Returns PRL_OK or PRL_E_MEMORY. */
enum prl_code member_init(struct member_table *m, const struct member_vm *self,
			  const struct member_options *o,
			  struct prl_error *err);

/** Frees the table. */
void member_finish(struct member_table *m);

/** Does what is due; fills the messages to send and returns their number. */
int member_tick(struct member_table *m, int64_t now, uint64_t random,
		struct member_probe out[MEMBER_PROBES_MAX]);

/** When the next tick is due. */
int64_t member_next_tick_ms(const struct member_table *m);

/** Takes in what a message tells of a VM. Returns PRL_OK or PRL_E_MEMORY. */
enum prl_code member_apply_update(struct member_table *m,
				  const struct member_vm *vm, int64_t now);

/** An answer to a probe came, directly or through another VM. */
void member_handle_ack(struct member_table *m, int64_t sequence);

/**
 * Chooses what to tell in a message to an address: first what is thought of
 * the receiver itself, if that is bad, so that it can refute it; then news.
 * Returns how many.
 */
int member_select_updates(struct member_table *m, const char *to,
			  uint64_t random,
			  struct member_vm out[MEMBER_UPDATES_MAX]);

/** Says that this VM leaves. */
void member_leave(struct member_table *m);

/** Forgets a VM that the platform has destroyed. */
void member_remove(struct member_table *m, const char *name);

/** Peer by name, or null. */
const struct member_peer *member_find(const struct member_table *m,
				      const char *name);

/** Whether a member takes work, so far as is known. */
int member_is_usable(const struct member_peer *p);

/** Whether an address is that of a VM that isn't dead. */
int member_has_address(const struct member_table *m, const char *rpc);

/** Takes one event. Returns 1, or 0 if there is none. */
int member_pop_event(struct member_table *m, struct member_event *out);

/** Name of a state, as in logs. */
const char *member_state_name(enum member_state state);

/**
 * Ranks the usable members of a failure domain for a topic by rendezvous
 * hashing: fills indexes, best first, and returns how many. With a null domain
 * all domains count.
 */
int member_rank(const struct member_table *m, const char *domain,
		uint64_t topic, int *out, int max);

#endif
