#ifndef LIMIT_WORLD_H
#define LIMIT_WORLD_H

#include <primroselead/usage_aggregator.h>

/*
 * A fleet of VMs that share one limit, over a network with delays, losses,
 * duplicates and partitions. Time is simulated in steps of WORLD_STEP_MS.
 */

#define WORLD_VMS_MAX 300
#define WORLD_STEP_MS 10
#define WORLD_END_MS 60000

/** A question of a VM to an aggregator, or the answer. */
struct world_message {
	int64_t due_ms;
	int from;
	int to;
	int is_answer;
	struct usage_sender sender;
	int has_counts;
	struct limit_report report;
	struct limit_answer answer;
	int is_low;
	int is_counted;
	int heard_permille;
};

struct world_vm {
	struct shared_limit limit;
	struct limit_follower follower;
	struct usage_aggregator aggregator;
	int is_running;
	int side;
	uint64_t series;
	uint32_t sequence;
	int aggregator_vm;
	int64_t answered_ms;
	int64_t heard_ms;
	int64_t asked_aggregator_ms;
	int64_t heartbeat_ms;
	int heard_permille;
	int is_low;
};

/** A simulated fleet: settings, then state. */
struct world {
	int nvm;
	struct limit_terms terms;
	int64_t burst_milli;
	int64_t window_ms;
	int64_t delay_max_ms;
	int loss_permille;
	int duplicate_permille;
	uint64_t seed;

	int64_t now_ms;
	struct world_vm vm[WORLD_VMS_MAX];
	GArray *messages;
	/** Tokens asked for, taken and deposited in each step. */
	int asked[WORLD_END_MS / WORLD_STEP_MS];
	int taken[WORLD_END_MS / WORLD_STEP_MS];
	int deposits[WORLD_END_MS / WORLD_STEP_MS];
	int64_t sent;
	int64_t sent_counts;
};

void world_init(struct world *w);
void world_finish(struct world *w);

/** Starts a VM, again if it ran. */
void world_start(struct world *w, int i);

void world_stop(struct world *w, int i);

/** Asks for n tokens at a VM. */
void world_ask(struct world *w, int i, int n);

void world_deposit(struct world *w, int i, int n);

/** Advances the time by one step. */
void world_step(struct world *w);

/** Sum of the steps in a time. */
int64_t world_sum(const int *steps, int64_t from_ms, int64_t to_ms);

unsigned int world_random(struct world *w, unsigned int n);

#endif
