#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include <primroselead/member.h>

/** Queues a peer's new state as an update and records an event. "was_usable" is
 * the result of member_is_usable before the change. Returns the event, or NULL
 * if there was no room for it. */
struct member_event *member_record_change(struct member_table *m, int i,
					  int was_usable);

/**
 * Inserts a weight into an array of the "max" greatest, of which there are "*n"
 * so far, in descending order; "max" is at least 1. Returns its index, or -1 if
 * it is not among them.
 */
int member_insert_weight(uint64_t *weight, int *n, int max, uint64_t added);

#endif
