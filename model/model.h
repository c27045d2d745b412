#ifndef MODEL_H
#define MODEL_H

#include <stddef.h>
#include <stdint.h>

/*
 * A handful of VMs, made of the project's own packages, against small fakes of
 * the store, the network and the upstreams. A stream of bytes chooses the
 * events; after each one a simple oracle checks what must always hold.
 */

/** Where events come from: bytes first, then a generator with the seed. */
struct model_input {
	const uint8_t *bytes;
	size_t nbytes;
	uint64_t seed;
	/** Events to run. */
	long events;
	/** Prints the state of everything if the oracle finds a failure. */
	int dump_on_failure;
};

/** What a run found. */
struct model_result {
	/** Empty if everything held. */
	char failure[256];
	/** Event at which it failed, or events run. */
	long events;
	/** What happened, so that a run that tests nothing is seen. */
	long admitted;
	long ran;
	long not_run;
	long claims_granted;
	long claims_taken;
	long shifted;
	long conflicts;
	long lost_answers;
	long late_writes;
	long reclaimed;
	long configs_accepted;
};

/** Runs the events. Returns 0 if everything held, or -1. */
int model_run(const struct model_input *in, struct model_result *out);

#endif
