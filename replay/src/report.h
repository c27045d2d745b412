#ifndef REPLAY_REPORT_H
#define REPLAY_REPORT_H

#include "world.h"
#include <stdio.h>

/** Results of one replay. */
struct report {
	/** Worth of the requests answered in time, of the worth of all. */
	int earned_permille;
	/** The same for the region and the kind in which it is lowest. */
	int worst_region_permille;
	int worst_kind_permille;
	/** Requests answered before their deadline, of all. */
	int served_permille;
	/** Percentiles of the latency of served requests. */
	int64_t p50_ms;
	int64_t p99_ms;
	/** Attempts that arrived at an upstream, also at one that is gone, and
	 * those refused for a full queue, per thousand requests. */
	int sent_permille;
	int refused_permille;
	/** Runs that found their object cached, of all runs. */
	int cache_hit_permille;
	/** Greatest share of the requests from one region that run in other
	 * regions than in the window of 2 s before. */
	int region_change_permille;
	/** Connections that the VMs need to all upstreams together, at one
	 * request at a time on each. */
	int connections;
};

/** Computes the results of a replay that has ended; sorts the latencies of
 * the world. */
void report_fill(const struct world *w, struct report *out);

/** Prints the header of the table. */
void report_print_header(FILE *to);

/** Prints a row of the table. */
void report_print_row(FILE *to, const char *name, const struct report *r);

/** Prints a data set for gnuplot: by second of arrival, the worth earned in
 * permille of the worth of all requests. */
void report_print_series(FILE *to, const char *name, const struct world *w);

#endif
