#ifndef MODEL_WORLD_H
#define MODEL_WORLD_H

#include "model.h"
#include <primroselead/claim.h>
#include <primroselead/grant.h>
#include <primroselead/ratio.h>
#include <primroselead/spread.h>
#include <primroselead/steer.h>

/*
 * State of the model: entry VMs with the project's grant, claim, spread and
 * steer packages, a fake store, a fake network between the VMs, and the
 * requests at upstreams. Time is simulated and counted in milliseconds; points
 * of time are on that clock.
 */

#define VMS 4
#define REGIONS 3
/* Distinct Idempotency-Keys; few, so that requests often share one. */
#define KEYS 40
#define OBJECTS_MAX 256
#define CALLS_MAX 64
#define MESSAGES_MAX 32
#define INFLIGHT_MAX 512
#define CONFIGS_MAX 4096
#define PENDING_CLAIMS_MAX 64
#define OPERATORS 2
#define UPSTREAMS_PER_REGION 2

/* Records in a claim segment; few, so that segments are often sealed. */
#define SEGMENT_RECORDS 3

#define LEASE_MS 5000
/* Time from a request's admission to its deadline. */
#define DEADLINE_MS 6000
/* Delay with which the platform's VM list shows a destroyed VM. */
#define VM_LIST_LAG_MS 1000
#define CALL_TIMEOUT_MS 1000

/* Time after a VM's end before its capacity may be reused: loans, the leases
 * of their borrowers and the requests admitted under them have ended. */
#define RECLAIM_DELAY_MS (GRANT_LOAN_TERM_MS + LEASE_MS + DEADLINE_MS)

/** An object of the fake store. */
struct fake_object {
	char key[64];
	int64_t version;
	char *value;
};

/** Purpose of a call to the fake store. */
enum call_purpose {
	CALL_GRANT_READ,
	CALL_GRANT_WRITE,
	CALL_CLAIM_LOAD,
	CALL_CLAIM_WRITE,
	/** Writes the next step of a shift. */
	CALL_STEP,
	/** An operator publishes a configuration. */
	CALL_PUBLISH,
};

/** State of a call to the fake store. */
enum call_state {
	CALL_FREE,
	/** Sent, not yet at the store. */
	CALL_SENT,
	/** Processed by the store; the response is not yet delivered. */
	CALL_APPLIED,
	/** A write whose sender timed out; the store may still apply it. */
	CALL_ABANDONED,
};

/** A call to the fake store. */
struct fake_call {
	enum call_state state;
	enum call_purpose purpose;
	/** VM that sent the call, or -1 - n for operator n. */
	int vm;
	int incarnation;
	/** Object to write, or prefix of the objects to read. */
	char key[64];
	/** Value to write; NULL for a read. */
	char *value;
	/** Version that a write replaces; 0 if the object must not exist. */
	int64_t expected_version;
	int64_t deadline_ms;
	/** Version of the object after a write or a conflict, or the store's
	 * revision at a read. */
	int64_t result_version;
	enum prl_code code;
	/** Objects that a read found. */
	struct fake_object snapshot[CLAIM_SEGMENT_SLOTS];
	int nsnapshot;
	/** CALL_PUBLISH: index of the configuration in the world. */
	int config_index;
};

/** A configuration of the service that an operator published. */
struct fake_config {
	/** Version of its object in the store, once accepted. */
	int64_t version;
	/** Requests that a region may run at a time. */
	int capacity[REGIONS];
	/** The shift. */
	int from_region;
	int to_region;
	int cap_permille;
	/** enum steer_direction. */
	int direction;
	/** Index of an upstream in state STEER_LEAVING;
	 * REGIONS * UPSTREAMS_PER_REGION if there is none. */
	int leaving_upstream;
	/** The store accepted the publication. */
	int accepted;
};

/** A request at an upstream. */
struct inflight_request {
	int used;
	/** Past its deadline at the upstream; its paused VM still counts it. */
	int finished;
	int vm;
	int incarnation;
	int region;
	/** Index of the Idempotency-Key, or -1 without one. */
	int key;
	/** Fencing token of the claim. */
	uint64_t token;
	int64_t deadline_ms;
	/** Version of the configuration under which it was admitted. */
	int64_t config_version;
};

/** An admitted request on its way to an upstream; with a key it waits for its
 * claim first. Fields as above. */
struct admitted_request {
	int used;
	int region;
	int key;
	uint64_t token;
	int64_t deadline_ms;
	int64_t config_version;
};

/** Type of a message about a loan. */
enum loan_message_type {
	/** The slot holds no message. */
	LOAN_MESSAGE_FREE,
	LOAN_REQUEST,
	LOAN_RESPONSE,
	LOAN_RETURN,
};

/** A message about a loan on its way between two VMs. */
struct fake_message {
	enum loan_message_type type;
	int from;
	int to;
	/** Incarnations of the two VMs when the message was sent. */
	int from_incarnation;
	int to_incarnation;
	struct grant_loan_terms terms;
	/** When the borrower sent its request. */
	int64_t requested_at_ms;
};

/** An entry VM. */
struct fake_vm {
	/** Whether the process runs. */
	int alive;
	/** The process makes no progress, as in a suspended VM. */
	int paused;
	/** Neither the store nor other VMs can be reached. */
	int partitioned;
	/** Number of its process; each start counts one up. */
	int incarnation;
	/** Gives its capacity back and then ends. */
	int leaving;
	/** The platform lists it as destroyed, rightly or not. */
	int destroyed;
	int64_t destroyed_at_ms;
	int64_t last_tick_ms;
	/** Admits requests until then. */
	int64_t lease_until_ms;
	/** Did not run for longer than its lease: does not renew it before the
	 * ledger has been read again. */
	int unconfirmed;
	/** The ledger is being read again. */
	int ledger_reread;
	struct grant_set grant;
	/** Capacity of each region that this VM may use. */
	struct limit_semaphore semaphore[REGIONS];
	struct claim_shard claims;
	struct spread_replica replica;
	struct steer_service service;
	struct steer_upstream upstream[REGIONS * UPSTREAMS_PER_REGION];
	/** Configuration in force, or -1. */
	int config_index;
	/** Limits shifted requests to the cap of the shift plan below. */
	struct limit_ratio shift_ratio;
	uint64_t shift_plan_id;
	struct steer_shift_progress shift_progress;
	int64_t shift_progress_version;
	int64_t shift_progress_seen_ms;
	/** A call for a shift step is under way. */
	int step_pending;
	int grant_busy;
	/** A call for the claim shard is under way. */
	int claim_call_pending;
	/** Requests that wait for their claims. */
	struct admitted_request pending_claim[PENDING_CLAIMS_MAX];
	/** Highest configuration version in force in this incarnation. */
	int64_t highest_version;
	/** Region without free capacity at the last refusal, or -1. */
	int exhausted_region;
	int64_t next_loan_request_ms;
	/** Id of the loan request under way, or 0. */
	uint64_t loan_request_id;
};

/** The whole model. */
struct world {
	const struct model_input *input;
	struct model_result *result;
	size_t input_pos;
	uint64_t random_state;
	int64_t now_ms;
	int store_up;
	/** Failures are injected more often in this run. */
	int frequent_failures;
	/** Revision of the store: version of its latest write. */
	int64_t revision;
	struct fake_object object[OBJECTS_MAX];
	int nobject;
	struct fake_call call[CALLS_MAX];
	struct inflight_request inflight[INFLIGHT_MAX];
	struct fake_message message[MESSAGES_MAX];
	struct fake_vm vm[VMS];
	struct fake_config config[CONFIGS_MAX];
	int nconfig;
	/** Index of the configuration in the store. */
	int current_config;
	/** By operator: version that it expects to replace, or -1 if it has to
	 * read the store first, and whether a publication is under way. */
	int64_t expected_version[OPERATORS];
	int publishing[OPERATORS];
	/** Times that a request with this Idempotency-Key ran. */
	int key_runs[KEYS];
	/** Last token given out, for claims and loans. */
	uint64_t last_token;
	/** Shifted requests that the caps allow so far, in thousandths. */
	int64_t shift_credit;
	/** Ledger version that the oracle checked last. */
	int64_t checked_ledger_version;
	/** Requests shifted so far. */
	int64_t shifted;
};

/** Returns the next choice, 0 to n - 1: from the input's bytes, then from the
 * generator. */
uint32_t choose(struct world *w, uint32_t n);

/** Records the first violation of an invariant; later ones are ignored. */
void oracle_fail(struct world *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* store.c: "i" is the slot of a call. */

/** Sends a call; "vm" as in struct fake_call. A read if "value" is NULL.
 * Without a free slot the sender gets PRL_E_STORE_DOWN at once. */
void store_send(struct world *w, enum call_purpose purpose, int vm,
		const char *key, int64_t expected_version, const char *value,
		int config_index);

/** Processes a call at the store, if it is up. */
void store_apply(struct world *w, int i);

/** Delivers the response of a processed call. If it is lost, a write ends with
 * PRL_E_UNSETTLED and a read with PRL_E_STORE_DOWN. */
void store_respond(struct world *w, int i, int lost);

/** Ends calls that time out before they reach the store, with the same results
 * as a lost response; such a write may still be applied later. Calls of paused
 * VMs do not time out. */
void store_expire_calls(struct world *w);

/** Returns the object, or NULL. */
const struct fake_object *store_find(const struct world *w, const char *key);

/** Frees all objects and calls. */
void store_free(struct world *w);

/* loans.c */

/** Returns and requests loans of VM "i" as they are due. */
void loans_tick(struct world *w, int i);

/** Delivers the message in slot "i", drops it or leaves a duplicate. */
void loans_deliver(struct world *w, int i, int lost, int duplicate);

/* vm.c */

/** Starts a new process on VM "i". */
void vm_start(struct world *w, int i);

/** Ends the process; its requests stay at their upstreams until their
 * deadlines. */
void vm_kill(struct world *w, int i);

/** Runs the periodic work of a VM once. */
void vm_tick(struct world *w, int i);

/** Passes the result of a store call to its sender. */
void vm_handle_response(struct world *w, struct fake_call *c);

/** Frees the state of a VM's process. */
void vm_finish(struct world *w, int i);

/* request.c */

/** Region of a VM. */
int vm_region(int vm);

/** A caller's request arrives at VM "i". */
void vm_request(struct world *w, int i);

/** Continues requests of VM "i" whose claims were answered. */
void vm_take_claim_answers(struct world *w, int i);

/** Ends the inflight request in slot "i", unless its VM is paused. */
void vm_finish_request(struct world *w, int i, int refused);

/* dump.c */

/** Prints the state of everything to standard output. */
void dump_world(const struct world *w);

/* oracle.c */

/** Checks the invariants that hold after every event. */
void oracle_check(struct world *w);

/** Counts a request that was sent to an upstream, and checks that it is the
 * only one with its Idempotency-Key. */
void oracle_count_run(struct world *w, const struct inflight_request *f);

/** Checks what holds after all failures are repaired and all calls are done. */
void oracle_check_settled(struct world *w);

#endif
