#ifndef REPLAY_TRACE_H
#define REPLAY_TRACE_H

#include "scenario.h"

/*
 * Traces: arrivals of requests, generated from a scenario's load or recorded
 * from the logs of entry VMs. A recorded trace is a text with a line for each
 * arrival: time in ms, index of the region, index of the kind, hash of the
 * object in hexadecimal. Lines that begin with # are comments.
 */

/** Arrival of a request. */
struct arrival {
	int64_t at_us;
	int region;
	int kind;
	/** 0 if the request has no object. */
	uint64_t object_hash;
};

/** Sorts arrivals by time. */
void trace_sort(GArray *arrivals);

/** Generates the arrivals of a scenario as an array of struct arrival, which
 * the caller frees. The same seed gives the same arrivals. */
GArray *trace_generate(const struct scenario *s, uint32_t seed);

/** Reads a recorded trace, played at "speed" permille of its speed, into an
 * array of struct arrival, which the caller frees. Returns PRL_OK, PRL_E_IO if
 * the file can't be opened, or PRL_E_CONFIG if a line is not an arrival or
 * names a region or kind that the scenario lacks; there is no array then. */
enum prl_code trace_read(const char *path, const struct scenario *s, int speed,
			 GArray **out, struct prl_error *err);

/** Prints a trace of the requests to one service in logs of entry VMs to
 * standard output. "regions" lists up to 8 parts of VM names, separated by
 * commas; the first part that a VM's name contains gives its region. A caller's
 * retry is an arrival of its own. Returns PRL_OK, or PRL_E_IO if the log can't
 * be opened. */
enum prl_code trace_record(const char *log, const char *service,
			   const char *regions, struct prl_error *err);

#endif
