#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include <primroselead/member.h>

/** Makes a peer's state news and records an event; "before" tells whether it
 * took work before. */
void member_record_change(struct member_table *m, int i, int was_usable);

#endif
