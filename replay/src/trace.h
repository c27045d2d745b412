#ifndef REPLAY_TRACE_H
#define REPLAY_TRACE_H

#include "scenario.h"

/*
 * Arrivals of requests, drawn from a scenario's load or recorded from what
 * entry VMs logged. A recorded one is text: a line for each arrival with its
 * time in ms, region, kind and object in hex; lines with # are notes.
 */

/** One arrival. */
struct arrival {
	int64_t at_us;
	int region;
	int kind;
	/** 0 if it has none. */
	uint64_t object_hash;
};

/** Puts arrivals into the order of their times. */
void trace_sort(GArray *arrivals);

/** Draws the arrivals of a scenario into an array of struct arrival. The same
 * seed gives the same ones. */
GArray *trace_generate(const struct scenario *s, uint32_t seed);

/** Reads a recorded trace; times are divided by "speed" permille. Returns
 * PRL_OK, PRL_E_IO or PRL_E_CONFIG; the array is the caller's. */
enum prl_code trace_read(const char *path, const struct scenario *s, int speed,
			 GArray **out, struct prl_error *err);

/** Writes a trace of the requests to one service in logs of entry VMs.
 * "regions" lists parts of VM names, with commas; the region of a VM is the
 * first that its name contains. Callers that came again are arrivals of their
 * own. Returns PRL_OK or PRL_E_IO. */
enum prl_code trace_record(const char *log, const char *service,
			   const char *regions, struct prl_error *err);

#endif
