#ifndef PRIMROSELEADD_LOANS_H
#define PRIMROSELEADD_LOANS_H

#include <primroselead/wire.h>

/* Loans of capacity between VMs. */

struct control;

/**
 * Handles a message from a traffic thread that a pool has no free capacity:
 * requests a loan. "item" is the index of the pool's semaphore plus 1.
 */
void loans_handle_shortage(void *ctx, void *item);

/** Ends expired loans and returns idle ones to their lenders. */
void loans_tick(struct control *c, int64_t now);

/**
 * Handles another VM's request for a loan; answers with 0 tokens if none can be
 * lent.
 */
void loans_handle_borrow(struct control *c, const struct wire_request *r,
			 const struct wire_borrow *b);

/** Handles another VM's return of a loan. */
void loans_handle_return(struct control *c, const struct wire_request *r,
			 const struct wire_return *b);

#endif
