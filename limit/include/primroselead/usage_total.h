#ifndef PRIMROSELEAD_USAGE_TOTAL_H
#define PRIMROSELEAD_USAGE_TOTAL_H

#include <primroselead/shared_limit.h>

/*
 * The aggregator's side of shared limits: sums of what the VMs take, and the
 * credit that is left. A VM's counts are cumulative, so reports may be lost,
 * late or come twice. VMs that are not heard may each use an equal part of the
 * limits on their own; that part is withheld here.
 */

/** Time in ms without a report after which a VM counts as not heard. Longer
 * than the time after which a VM without answers uses its own part. */
#define USAGE_HEARD_MS 1300

/** Time in ms after the question that was answered last in which a VM relies on
 * the aggregator. */
#define USAGE_RELIED_MS 1000

/** Average rate of events. Starts as all zero. */
struct usage_rate {
	/** Recent events, each counting less with its age, in thousandths. */
	int64_t recent_milli;
	int64_t counted_ms;
};

/** Counts events up to now; the rate is averaged over about average_ms. */
void usage_rate_add(struct usage_rate *r, int64_t events, int64_t average_ms,
		    int64_t now_ms);

/** Returns the rate in thousandths of an event per second. */
int64_t usage_rate_milli(const struct usage_rate *r, int64_t average_ms,
			 int64_t now_ms);

/** Credit of one limit. */
struct usage_total {
	struct limit_terms terms;
	int64_t credit_milli;
	/** Credit if nothing was taken in the window before this aggregator
	 * began; used once that window is over. */
	int64_t opening_milli;
	int64_t rest;
	struct usage_rate asked;
	struct usage_rate asked_short;
	struct usage_rate deposits;
	int64_t updated_ms;
	/** When opening_milli replaces the credit; 0 if it has. */
	int64_t opens_ms;
	/** VMs are told that the credit is low. */
	int is_low;
};

/** Which part of the VMs an aggregator hears. */
struct usage_coverage {
	int heard;
	int vms;
};

/** Starts a new aggregator's credit with a small part of the burst, since it
 * does not know what was taken before; the rest becomes available at opens_ms.
 */
void usage_total_init(struct usage_total *t, const struct limit_terms *terms,
		      int64_t opens_ms, int64_t now_ms);

/** Replaces the terms; credit above a lower bound is lost. */
void usage_total_set_terms(struct usage_total *t,
			   const struct limit_terms *terms);

/** Adds the growth of the credit up to now. */
void usage_total_advance(struct usage_total *t,
			 const struct usage_coverage *coverage, int64_t now_ms);

/** Adds what a VM has taken, asked for and deposited since its last report. */
void usage_total_add(struct usage_total *t, const struct limit_usage *since,
		     int64_t now_ms);

/** Returns what a VM is told; the total must be up to date. */
struct limit_answer usage_total_answer(const struct usage_total *t,
				       const struct usage_coverage *coverage,
				       int64_t now_ms);

#endif
