#ifndef MODEL_QUARANTINE_WORLD_H
#define MODEL_QUARANTINE_WORLD_H

#include "quarantine_model.h"
#include <primroselead/quarantine.h>

/*
 * State of the model of the quarantine: the VMs with their tables, upstreams
 * that end and come back, messages on their way, and a store. Times are in ms
 * of a simulated clock.
 */

#define VMS 6
#define UPSTREAMS 8
/* Requests that end upstreams, and others. */
#define GUILTY 3
#define INNOCENT 12
#define REQUESTS (GUILTY + INNOCENT)
#define RUNS_MAX 256
#define MESSAGES_MAX 512
#define MESSAGE_RECORDS 8

#define STEP_MS 10
/* Time in which all VMs must know that a request has ended three upstreams, if
 * no fault came meanwhile, and the ends that are allowed after it. */
#define KNOWN_MS 4000
#define LATE_ENDS_MAX 3

#define RUN_MS 60
#define AWAY_MS 500
#define PROBE_MAX_MS 100
#define NEWS_INTERVAL_MS 100
#define SAMPLE_INTERVAL_MS 1000
#define FANOUT 4
#define MESSAGE_MAX_MS 150
#define MESSAGE_LOSS_PERCENT 20
#define START_MS 300
#define LOAD_MAX_MS 2000
#define FAULT_MAX_MS 3000
/* Faults come only in the first part of a run, in percent. */
#define FAULTY_PART_PERCENT 60

struct model_vm {
	struct quarantine table;
	int alive;
	int64_t back_ms;
	int64_t started_ms;
	/** Serves requests. */
	int ready;
	int side;
	int64_t next_news_ms;
	int64_t next_sample_ms;
};

/** A request at an upstream, or one whose end its VM is finding out about. */
struct model_run {
	int used;
	int vm;
	int64_t vm_started_ms;
	int request;
	int upstream;
	uint64_t upstream_id;
	int64_t end_ms;
	int is_alone;
	/** The upstream has ended; the VM learns it at "end_ms". */
	int is_broken;
};

struct model_message {
	int used;
	int from;
	int to;
	int64_t at_ms;
	int is_reply;
	struct quarantine_record record[MESSAGE_RECORDS];
	int n;
};

struct quarantine_world {
	struct quarantine_model_result *result;
	uint64_t random_state;
	uint64_t drawn;
	int64_t now_ms;
	struct model_vm vm[VMS];
	struct {
		uint64_t id;
		int64_t back_ms;
	} upstream[UPSTREAMS];
	uint64_t last_id;
	struct model_run run[RUNS_MAX];
	struct model_message message[MESSAGES_MAX];
	/** What the store keeps. */
	struct quarantine_record kept[REQUESTS];
	int is_kept[REQUESTS];
	int64_t store_back_ms;
	int64_t whole_again_ms;
	/** When the last fault ended. */
	int64_t disturbed_ms;
	/** By request: ends since the fleet last knew nothing, when the third
	 * came, and the late ones. */
	int ends[REQUESTS];
	int64_t third_ms[REQUESTS];
	int late[REQUESTS];
};

/** Returns the next random number, 0 to n - 1. */
uint32_t world_draw(struct quarantine_world *w, uint32_t n);

struct prl_hash128 world_digest(int request);

int world_store_is_up(const struct quarantine_world *w);

/** Delivers a message, unless its VM is down or out of touch. */
void world_deliver(struct quarantine_world *w, struct model_message *m);

/** Sends the messages of VM "i" that are due. */
void world_tell(struct quarantine_world *w, int i);

/** Writes to the store what VM "i" must keep there or remove. */
void world_keep(struct quarantine_world *w, int i);

/** Reads at a VM's start what the store keeps; without the store the VM waits
 * for a while. */
void world_load(struct quarantine_world *w, struct model_vm *v);

#endif
