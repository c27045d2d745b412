#ifndef MODEL_WORLD_H
#define MODEL_WORLD_H

#include "model.h"
#include <primroselead/claim.h>
#include <primroselead/grant.h>
#include <primroselead/ratio.h>
#include <primroselead/spread.h>
#include <primroselead/steer.h>

#define VMS 4
#define REGIONS 3
#define KEYS 40
#define OBJECTS_MAX 256
#define CALLS_MAX 64
#define MESSAGES_MAX 32
#define INFLIGHT_MAX 512
#define CONFIGS_MAX 4096
#define UPSTREAMS_PER_REGION 2

/* Few records make a segment, so that logs go on to the next one often. */
#define SEGMENT_RECORDS 3

/* Periods of the model, in milliseconds. */
#define LEASE_MS 5000
#define DEADLINE_MS 6000
#define VM_LIST_LAG_MS 1000

/* Time for which others may use what a VM held: loans, leases, requests. */
#define RECLAIM_DELAY_MS (GRANT_LOAN_TERM_MS + LEASE_MS + DEADLINE_MS)
#define CALL_TIMEOUT_MS 1000

/** An object of the fake store. */
struct fake_object {
	char key[64];
	int64_t version;
	char *value;
};

/** What a call to the fake store is for. */
enum call_purpose {
	CALL_GRANT_READ,
	CALL_GRANT_WRITE,
	CALL_CLAIM_LOAD,
	CALL_CLAIM_WRITE,
	CALL_STEP,
	CALL_PUBLISH,
};

/** Where a call stands between its sender and the store. */
enum call_state {
	CALL_FREE,
	/** On the way to the store. */
	CALL_SENT,
	/** Took effect or was answered; the answer is on its way back. */
	CALL_APPLIED,
	/** Given up by its sender, but it may still take effect. */
	CALL_ABANDONED,
};

/** A call. */
struct fake_call {
	enum call_state state;
	enum call_purpose purpose;
	int vm;
	int incarnation;
	char key[64];
	char *value;
	int64_t expected_version;
	int64_t deadline_ms;
	int64_t result_version;
	enum prl_code code;
	/** Objects as they were when a read reached the store. */
	struct fake_object snapshot[CLAIM_SEGMENT_SLOTS];
	int nsnapshot;
	/** What a publication changes. */
	int config_index;
};

/** One accepted configuration, known to the oracle alone. */
struct fake_config {
	int64_t version;
	int capacity[REGIONS];
	int from_region;
	int to_region;
	int cap_permille;
	int direction;
	int leaving_upstream;
	int accepted;
};

/** A request at an upstream. */
struct inflight_request {
	int used;
	/** Over at the upstream, which its paused VM has not seen. */
	int finished;
	int vm;
	int incarnation;
	int region;
	int key;
	uint64_t token;
	int64_t deadline_ms;
	int64_t config_version;
};

/** A request that waits for its claim. */
struct pending_claim {
	int used;
	int region;
	int key;
	uint64_t token;
	int64_t deadline_ms;
	int64_t config_version;
};

/** What a message about a loan says. */
enum loan_message_type {
	LOAN_MESSAGE_FREE,
	LOAN_REQUEST,
	LOAN_RESPONSE,
	LOAN_RETURN,
};

/** A message between two VMs about a loan. */
struct fake_message {
	enum loan_message_type type;
	int from;
	int to;
	/** Incarnations of both when it was sent. */
	int from_incarnation;
	int to_incarnation;
	struct grant_loan_terms terms;
	/** When the borrower asked. */
	int64_t requested_at_ms;
};

/** One VM. */
struct fake_vm {
	int alive;
	int paused;
	int partitioned;
	int incarnation;
	int leaving;
	int destroyed;
	int64_t destroyed_at_ms;
	int64_t last_tick_ms;
	int64_t lease_until_ms;
	int unconfirmed;
	int ledger_reread;
	struct grant_set grant;
	struct limit_semaphore semaphore[REGIONS];
	struct claim_shard claims;
	struct spread_replica replica;
	struct steer_service service;
	struct steer_upstream upstream[REGIONS * UPSTREAMS_PER_REGION];
	int config_index;
	struct limit_ratio shift_ratio;
	uint64_t shift_plan_id;
	struct steer_shift_progress shift_progress;
	int64_t shift_progress_version;
	int64_t shift_progress_seen_ms;
	int step_pending;
	int grant_busy;
	int claim_call_pending;
	struct pending_claim pending_claim[64];
	/** Highest version ever in force in this incarnation. */
	int64_t highest_version;
	/** Pool that a request found empty, or -1. */
	int exhausted_region;
	int64_t next_loan_request_ms;
	/** The ask under way, or 0. */
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
	/** Failures come often in this run. */
	int frequent_failures;
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
	int64_t expected_version[2];
	int publishing[2];
	int key_runs[KEYS];
	uint64_t next_token;
	/** For the shift's cap, by plan: credit that the cap has given. */
	int64_t shift_credit;
	/** Version of the ledger that was checked last. */
	int64_t checked_ledger_version;
	int64_t shifted;
};

/** Next choice among n. */
uint32_t choose(struct world *w, uint32_t n);

/** Records a failure of the oracle. */
void oracle_fail(struct world *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* store.c */
void store_send(struct world *w, enum call_purpose purpose, int vm,
		const char *key, int64_t version, const char *value,
		int config);
void store_apply(struct world *w, int i);
void store_respond(struct world *w, int i, int lost);
void store_expire_calls(struct world *w);
const struct fake_object *store_find(const struct world *w, const char *key);
void store_free(struct world *w);

/* loans.c */
void loans_tick(struct world *w, int i);
void loans_deliver(struct world *w, int i, int lost, int twice);

/* vm.c */
void vm_start(struct world *w, int i);
void vm_kill(struct world *w, int i);
void vm_tick(struct world *w, int i);
void vm_handle_response(struct world *w, struct fake_call *c);
void vm_finish(struct world *w, int i);

/* request.c */
int vm_region(int vm);
void vm_request(struct world *w, int i);
void vm_take_claim_answers(struct world *w, int i);
void vm_finish_request(struct world *w, int i, int refused);

/* dump.c */
void dump_world(const struct world *w);

/* oracle.c */
void oracle_check(struct world *w);
void oracle_count_run(struct world *w, const struct inflight_request *f);
void oracle_check_settled(struct world *w);

#endif
