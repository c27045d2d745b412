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
#define OBJECTS 256
#define CALLS 64
#define NOTES 32
#define FLIGHTS 512
#define VERSIONS 4096
#define UPSTREAMS 2

/* Few records make a segment, so that logs go on to the next one often. */
#define SEGMENT_RECORDS 3

/* Periods of the model, in milliseconds. */
#define LEASE_MS 5000
#define DEADLINE_MS 6000
#define LIST_LAG_MS 1000

/* Time for which others may use what a VM held: loans, leases, requests. */
#define REST_MS (GRANT_LOAN_TERM_MS + LEASE_MS + DEADLINE_MS)
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
	CALL_ORPHAN,
};

/** A call. */
struct fake_call {
	enum call_state state;
	enum call_purpose purpose;
	int vm;
	int incarnation;
	char key[64];
	char *value;
	int64_t version;
	int64_t deadline;
	int64_t result;
	enum prl_code code;
	/** Objects as they were when a read reached the store. */
	struct fake_object read[CLAIM_SEGMENT_SLOTS];
	int nread;
	/** What a publication changes. */
	int config;
};

/** One accepted configuration, known to the oracle alone. */
struct fake_config {
	int64_t version;
	int capacity[REGIONS];
	int from;
	int to;
	int cap;
	int direction;
	int draining;
	int accepted;
};

/** A request at an upstream. */
struct flight {
	int used;
	/** Over at the upstream, which its paused VM has not seen. */
	int over;
	int vm;
	int incarnation;
	int region;
	int key;
	uint64_t token;
	int64_t deadline;
	int64_t config;
};

/** A request that waits for its claim. */
struct asking {
	int used;
	int region;
	int key;
	uint64_t token;
	int64_t deadline;
	int64_t config;
};

/** What a message about a loan says. */
enum loan_message {
	LOAN_FREE,
	LOAN_ASK,
	LOAN_ANSWER,
	LOAN_RETURN,
};

/** A message between two VMs about a loan. */
struct loan_note {
	enum loan_message kind;
	int from;
	int to;
	/** Incarnations of both when it was sent. */
	int from_incarnation;
	int to_incarnation;
	struct grant_loan_terms terms;
	/** When the borrower asked. */
	int64_t asked_at;
};

/** One VM. */
struct fake_vm {
	int alive;
	int paused;
	int cut;
	int incarnation;
	int leaving;
	int destroyed;
	int64_t destroyed_at;
	int64_t last_tick;
	int64_t alive_until;
	int unconfirmed;
	int doubted;
	struct grant_set grant;
	struct limit_semaphore hold[REGIONS];
	struct claim_shard claims;
	struct spread_replica copy;
	struct steer_service service;
	struct steer_upstream upstream[REGIONS * UPSTREAMS];
	int config;
	struct limit_ratio share;
	uint64_t plan;
	struct steer_shift_progress progress;
	int64_t progress_version;
	int64_t progress_seen;
	int step_busy;
	int grant_busy;
	int claim_busy;
	struct asking asking[64];
	/** Highest version ever in force in this incarnation. */
	int64_t highest;
	/** Pool that a request found empty, or -1. */
	int short_of;
	int64_t ask_again;
	/** The ask under way, or 0. */
	uint64_t asked_id;
};

/** The whole model. */
struct world {
	const struct model_input *in;
	struct model_result *out;
	size_t at;
	uint64_t random;
	int64_t now;
	int store_up;
	/** Failures come often in this run. */
	int rough;
	int64_t revision;
	struct fake_object object[OBJECTS];
	int nobject;
	struct fake_call call[CALLS];
	struct flight flight[FLIGHTS];
	struct loan_note note[NOTES];
	struct fake_vm vm[VMS];
	struct fake_config config[VERSIONS];
	int nconfig;
	/** Index of the configuration in the store. */
	int current;
	int64_t expected[2];
	int publishing[2];
	int runs[KEYS];
	uint64_t next_token;
	/** For the shift's cap, by plan: credit that the cap has given. */
	int64_t cap_credit;
	/** Version of the ledger that was checked last. */
	int64_t checked;
	int64_t moved;
};

/** Next choice among n. */
uint32_t choose(struct world *w, uint32_t n);

/** Records a failure of the oracle. */
void fail(struct world *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* store.c */
void store_begin(struct world *w, enum call_purpose purpose, int vm,
		 const char *key, int64_t version, const char *value,
		 int config);
void store_reach(struct world *w, int i);
void store_return(struct world *w, int i, int lost);
void store_expire(struct world *w);
const struct fake_object *store_find(const struct world *w, const char *key);
void store_free(struct world *w);

/* loans.c */
void loans_tick(struct world *w, int i);
void loans_move(struct world *w, int i, int lost, int twice);

/* vm.c */
void vm_start(struct world *w, int i);
void vm_kill(struct world *w, int i);
void vm_tick(struct world *w, int i);
void vm_answer(struct world *w, struct fake_call *c);
void vm_finish(struct world *w, int i);

/* request.c */
int vm_region(int vm);
void vm_request(struct world *w, int i);
void vm_take_answers(struct world *w, int i);
void vm_end_flight(struct world *w, int i, int refused);

/* dump.c */
void dump_world(const struct world *w);

/* oracle.c */
void oracle_check(struct world *w);
void oracle_ran(struct world *w, const struct flight *f);
void oracle_settled(struct world *w);

#endif
