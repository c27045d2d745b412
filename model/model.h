#ifndef MODEL_H
#define MODEL_H

#include <stddef.h>
#include <stdint.h>

/*
 * Deterministic simulation of a few entry VMs: the product's decision packages
 * run against fakes of the store, the network and the upstreams. A stream of
 * bytes chooses the events; after each event an oracle checks the invariants.
 */

/** Source of events: the bytes first, then a generator with the seed. */
struct model_input {
	const uint8_t *bytes;
	size_t nbytes;
	uint64_t seed;
	/** Number of events to run. */
	long events;
	/** Print the state to standard output if the oracle finds a failure. */
	int dump_on_failure;
};

/** Result of a run. */
struct model_result {
	/** First violation of an invariant; empty if there is none. */
	char failure[256];
	/** Events run, the one that failed included. */
	long events;
	/** Counts of what happened, to show that a run reaches the cases that
	 * it is meant to test. */

	/** Requests that got capacity, those sent to an upstream, and those
	 * that did not run. */
	long admitted;
	long ran;
	long not_run;
	/** Claims granted, and those refused as another request has the key. */
	long claims_granted;
	long claims_taken;
	/** Requests admitted in the target region of a shift. */
	long shifted;
	/** Writes to the store that found another version than expected. */
	long conflicts;
	/** Store responses lost after the call was processed. */
	long lost_answers;
	/** Writes that the store applied after their senders had timed out. */
	long late_writes;
	/** Ledger rows of destroyed VMs and of earlier processes that a write
	 * sent to the store drops; repeated writes count a row again. */
	long reclaimed;
	long configs_accepted;
};

/** Runs the events, then repairs all failures and checks the final state.
 * Returns 0, or -1 if the oracle found a failure or memory ran out; without
 * memory "out" stays as it was. */
int model_run(const struct model_input *in, struct model_result *out);

#endif
