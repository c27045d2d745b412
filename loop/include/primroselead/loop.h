#ifndef PRIMROSELEAD_LOOP_H
#define PRIMROSELEAD_LOOP_H

#include <primroselead/error.h>
#include <stdint.h>

/** A file descriptor watched by an event loop; the caller owns the memory. */
struct loop_fd {
	int fd;
	/** Called with the events that occurred: EPOLLIN, EPOLLOUT and so on.
	 */
	void (*on_ready)(struct loop_fd *f, uint32_t events);
	void *ctx;
};

/** A one-shot timer of an event loop; the caller owns the memory. */
struct loop_timer {
	/** Expiry time by prl_now_ms(); PRL_NEVER if the timer is not set. The
	 * owner sets it; the loop resets it before it calls the function. */
	int64_t deadline_ms;
	/** Called on expiry with the time of prl_now_ms(). */
	void (*on_expiry)(struct loop_timer *t, int64_t now);
	void *ctx;
	struct loop_timer *next;
};

/** An event loop based on epoll, used by a single thread. */
struct loop {
	int epoll_fd;
	int stopped;
	struct loop_timer *timers;
	/** Descriptors with an event in the current round; loop_remove() clears
	 * the entries of a descriptor. */
	struct loop_fd *batch[64];
	int nbatch;
};

/** Initializes an empty loop. Returns PRL_OK or PRL_E_IO. */
enum prl_code loop_init(struct loop *l, struct prl_error *err);

/** Closes the loop's epoll descriptor; the watched descriptors stay open. */
void loop_finish(struct loop *l);

/** Watches a descriptor for events. Returns PRL_OK or PRL_E_IO. */
enum prl_code loop_add(struct loop *l, struct loop_fd *f, uint32_t events,
		       struct prl_error *err);

/** Changes the events of a watched descriptor. */
void loop_modify(struct loop *l, struct loop_fd *f, uint32_t events);

/** Stops watching a descriptor, which must still be open. No event is delivered
 * afterwards, so that its memory may be freed at once. */
void loop_remove(struct loop *l, struct loop_fd *f);

/** Adds a timer and sets its expiry to PRL_NEVER. */
void loop_timer_add(struct loop *l, struct loop_timer *t);

/** Removes a timer; a timer that is not in the loop is ignored. */
void loop_timer_remove(struct loop *l, struct loop_timer *t);

/** Runs one round: waits for events until the deadline, the next timer or at
 * most 1000 ms, calls the handlers, then the expired timers. */
void loop_run_once(struct loop *l, int64_t deadline_ms);

/** Runs rounds until a handler calls loop_stop(). */
void loop_run(struct loop *l);

/** Makes loop_run() return after the current round; to be called from the
 * loop's thread. */
void loop_stop(struct loop *l);

#endif
