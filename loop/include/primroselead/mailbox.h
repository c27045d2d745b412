#ifndef PRIMROSELEAD_MAILBOX_H
#define PRIMROSELEAD_MAILBOX_H

#include <apr_thread_mutex.h>
#include <glib.h>
#include <primroselead/loop.h>

/** A queue that passes pointers from any thread to the thread of one event
 * loop. */
struct mailbox {
	struct loop_fd wake;
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	GQueue queue;
	/** Called in the loop's thread for each pointer, in the order in which
	 * they were sent. */
	void (*receive)(void *ctx, void *item);
	void *ctx;
};

/** Initializes a mailbox whose pointers the loop receives. Returns PRL_OK,
 * PRL_E_IO or PRL_E_MEMORY. */
enum prl_code mailbox_init(struct mailbox *m, struct loop *l,
			   void (*receive)(void *ctx, void *item), void *ctx,
			   struct prl_error *err);

/** Delivers the pointers that are still queued, then releases the mailbox. */
void mailbox_finish(struct mailbox *m, struct loop *l);

/** Queues a pointer, which must not be null, and wakes the loop. May be called
 * from any thread. */
void mailbox_send(struct mailbox *m, void *item);

#endif
