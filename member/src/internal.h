#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include <primroselead/member.h>

/** Queues a peer's new state as an update and records an event. "was_usable" is
 * the result of member_is_usable before the change. Returns the event, or NULL
 * if there was no room for it. */
struct member_event *member_record_change(struct member_table *m, int i,
					  int was_usable);

#endif
