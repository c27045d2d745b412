#ifndef PRIMROSELEADD_LOADS_H
#define PRIMROSELEADD_LOADS_H

#include <primroselead/spread_turns.h>
#include <primroselead/wire.h>

/*
 * VMs of a region tell each other the loads that upstreams told them. A VM
 * alone hears from each upstream too seldom to know which of an object's homes
 * is free. In a large region a VM tells the others in turn. To the other
 * regions the VMs tell the totals of their own, each VM to one of each region.
 * What is lost is not repeated, and counts less with its age.
 */

struct control;

/** State of the reports to other VMs. */
struct loads {
	int64_t next_report_ms;
	/** Of the other VMs of the region. */
	struct spread_turns turns;
};

void loads_init(struct control *c);

/** Sends the loads that were told since the last report. */
void loads_tick(struct control *c, int64_t now);

/** Handles the report of another VM. */
void loads_handle_remote(struct control *c, const struct wire_load_list *list);

/** Handles the totals of another region. */
void loads_handle_region(struct control *c,
			 const struct wire_region_loads *list);

#endif
