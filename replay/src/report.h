#ifndef REPLAY_REPORT_H
#define REPLAY_REPORT_H

#include "world.h"
#include <stdio.h>

/** What a play came to. Parts are in permille, times in ms. */
struct report {
	/** Worth earned of what was owed. */
	int earned;
	/** The same in the worst region and of the worst kind. */
	int worst_region;
	int worst_kind;
	int served;
	int64_t p50_ms;
	int64_t p99_ms;
	/** Arrivals at upstreams for a request, and those refused there. */
	int sent;
	int refused;
	/** Runs with the object at hand. */
	int at_hand;
	/** Greatest change of the region in which a region's requests run, from
	 * one window of 2 s to the next. */
	int moved;
	/** Connections, were each used for one request at a time. */
	int connections;
};

/** Sums the figures of a world up. */
void report_make(const struct world *w, struct report *out);

/** Prints the heading of the table. */
void report_head(FILE *to);

/** Prints a row. */
void report_row(FILE *to, const char *name, const struct report *r);

/** Prints worth earned by second, for a plot. */
void report_series(FILE *to, const char *name, const struct world *w);

#endif
