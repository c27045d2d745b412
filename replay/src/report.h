#ifndef REPLAY_REPORT_H
#define REPLAY_REPORT_H

#include "world.h"
#include <stdio.h>

/** What a play came to. Parts are in permille, times in ms. */
struct report {
	/** Worth earned of what was owed. */
	int earned_permille;
	/** The same in the worst region and of the worst kind. */
	int worst_region_permille;
	int worst_kind_permille;
	int served_permille;
	int64_t p50_ms;
	int64_t p99_ms;
	/** Arrivals at upstreams for a request, and those refused there. */
	int sent_permille;
	int refused_permille;
	/** Runs with the object at hand. */
	int cache_hit_permille;
	/** Greatest change of the region in which a region's requests run, from
	 * one window of 2 s to the next. */
	int region_change_permille;
	/** Connections, were each used for one request at a time. */
	int connections;
};

/** Sums the figures of a world up. */
void report_fill(const struct world *w, struct report *out);

/** Prints the heading of the table. */
void report_print_header(FILE *to);

/** Prints a row. */
void report_print_row(FILE *to, const char *name, const struct report *r);

/** Prints worth earned by second, for a plot. */
void report_print_series(FILE *to, const char *name, const struct world *w);

#endif
