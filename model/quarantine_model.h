#ifndef MODEL_QUARANTINE_MODEL_H
#define MODEL_QUARANTINE_MODEL_H

#include <stdint.h>

/*
 * Deterministic simulation of VMs that meet requests which end upstreams: the
 * package quarantine runs against fakes of the upstreams, the store and the
 * messages between VMs, under faults. An oracle checks how many more upstreams
 * end once the VMs must know, and what becomes of other requests.
 */

/** Result of a run. */
struct quarantine_model_result {
	/** First violation of an invariant; empty if there is none. */
	char failure[200];
	/** Ends of upstreams, and those of them after the VMs must know. */
	long ends;
	long late_ends;
	/** Requests that end no upstream: sent, answered, and rejected. */
	long innocent;
	long innocent_answered;
	long innocent_rejected;
	/** Of these requests, by VM, those that are in quarantine in the end.
	 */
	long innocent_convicted;
	/** Faults: VMs killed, all killed, cuts, outages of the store. */
	long faults;
};

/** Runs the simulation for a time in ms. Returns 0, or -1 if the oracle found a
 * failure. */
int quarantine_model_run(uint64_t seed, int64_t duration_ms,
			 struct quarantine_model_result *out);

#endif
