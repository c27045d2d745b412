#ifndef PRIMROSELEAD_MAILBOX_H
#define PRIMROSELEAD_MAILBOX_H

#include <apr_thread_mutex.h>
#include <glib.h>
#include <primroselead/loop.h>

/** Passes pointers from any thread to the thread of one loop. */
struct mailbox {
	struct loop_fd wake;
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	GQueue queue;
	/** Called in the loop's thread for each pointer sent, in order. */
	void (*receive)(void *ctx, void *item);
	void *ctx;
};

/** Makes a mailbox read by the loop. Returns PRL_OK, PRL_E_IO or PRL_E_MEMORY.
 */
enum prl_code mailbox_init(struct mailbox *m, struct loop *l,
			   void (*receive)(void *ctx, void *item), void *ctx,
			   struct prl_error *err);

/** Receives what is still queued, then closes the mailbox. */
void mailbox_finish(struct mailbox *m, struct loop *l);

/** Sends a pointer; callable from any thread. */
void mailbox_send(struct mailbox *m, void *item);

#endif
