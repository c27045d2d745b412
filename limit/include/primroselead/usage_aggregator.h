#ifndef PRIMROSELEAD_USAGE_AGGREGATOR_H
#define PRIMROSELEAD_USAGE_AGGREGATOR_H

#include <glib.h>
#include <primroselead/usage_total.h>

/*
 * Sums up the reports of all VMs on all limits. Does no I/O.
 */

/** Most limits that a VM is told are low in credit. */
#define USAGE_LOW_MAX 64

/** Instead of a number of limits: each may be low. */
#define USAGE_ALL_LOW (USAGE_LOW_MAX + 1)

/** A VM's report, without its counts. */
struct usage_sender {
	uint64_t vm;
	/** Differs between the VM's starts. */
	uint64_t series;
	/** Greater than in its earlier reports. */
	uint32_t sequence;
};

/** A VM that reports. */
struct usage_vm {
	uint64_t series;
	uint32_t sequence;
	int64_t heard_ms;
	/** When the VM begins to be counted: an aggregator that it reported to
	 * before may count it until then. */
	int64_t counted_ms;
	/** Incremented when the VM restarts, or is heard again after a gap. */
	uint32_t period;
};

/** Whether the VM takes part in the sums. Until then it uses its own part. */
int usage_vm_is_counted(const struct usage_vm *vm, int64_t now_ms);

/** A limit that VMs report on. */
struct usage_limit {
	uint64_t id;
	struct usage_total total;
	int64_t reported_ms;
	/** When it was first reported. Its credit was taken to be full then,
	 * with the parts of all VMs counted at that time. */
	int64_t full_ms;
	/** Last counts, struct usage_counts by the VM's id. */
	GHashTable *counts;
};

/** Counts as they are sent; the difference of two is right though they wrap. */
struct usage_counts {
	uint32_t taken;
	uint32_t asked;
	uint32_t deposits;
	/** Tokens taken of which the VM does not know that they were counted.
	 */
	uint32_t unconfirmed;
	/** Tokens that it took of its own part before it was counted. */
	uint32_t spent;
	/** struct usage_vm.period of the report, and whether it was counted. */
	uint32_t period;
	int is_counted;
};

/** All limits and VMs that an aggregator knows. */
struct usage_aggregator {
	/** struct usage_limit and struct usage_vm by id. */
	GHashTable *limits;
	GHashTable *vms;
	/** When the first report came after a time without any. */
	int64_t since_ms;
	int64_t last_report_ms;
	struct usage_coverage coverage;
	int64_t covered_ms;
};

/** Initializes an aggregator that has heard no VM. */
void usage_aggregator_init(struct usage_aggregator *a);

void usage_aggregator_finish(struct usage_aggregator *a);

/** Begins to handle a report, in a fleet of this many VMs. Returns the VM, or
 * null if the report is older than one before. */
struct usage_vm *usage_aggregator_hear(struct usage_aggregator *a,
				       const struct usage_sender *from, int vms,
				       int64_t now_ms);

/** What a limit allows in a window. */
struct usage_rule {
	struct limit_terms terms;
	int64_t window_ms;
};

/** Adds the counts of one limit and returns what the VM is told of it. "since"
 * receives what is new in the counts. */
struct limit_answer usage_aggregator_add(struct usage_aggregator *a,
					 uint64_t limit,
					 const struct usage_rule *rule,
					 const struct usage_sender *from,
					 const struct usage_counts *counts,
					 struct limit_usage *since,
					 int64_t now_ms);

/** Lists the limits low in credit and returns their number, which may be
 * greater than USAGE_LOW_MAX. */
int usage_aggregator_list_low(struct usage_aggregator *a,
			      uint64_t out[USAGE_LOW_MAX], int64_t now_ms);

/** Returns the part of the VMs that are heard, in permille. */
int usage_aggregator_heard_permille(const struct usage_aggregator *a);

/** Forgets VMs and limits without a report for a long time. */
void usage_aggregator_forget(struct usage_aggregator *a, int64_t now_ms);

#endif
