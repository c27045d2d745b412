#ifndef PRIMROSELEAD_LOOP_H
#define PRIMROSELEAD_LOOP_H

#include <primroselead/error.h>
#include <stdint.h>

/** A file descriptor watched by a loop; the caller owns the memory. */
struct loop_fd {
	int fd;
	/** Called with EPOLLIN, EPOLLOUT and the like. */
	void (*ready)(struct loop_fd *f, uint32_t events);
	void *ctx;
};

/** A timer of a loop; the caller owns the memory. */
struct loop_timer {
	/** Point of prl_now_ms at which it is due; PRL_NEVER if unset. */
	int64_t deadline;
	void (*due)(struct loop_timer *t, int64_t now);
	void *ctx;
	struct loop_timer *next;
};

/** An event loop; used by one thread alone. */
struct loop {
	int epoll_fd;
	int stopped;
	struct loop_timer *timers;
	/** Descriptors removed while events are handled; see loop_remove. */
	struct loop_fd *batch[64];
	int nbatch;
};

/** Makes an empty loop. Returns PRL_OK or PRL_E_IO. */
enum prl_code loop_init(struct loop *l, struct prl_error *err);

/** Closes the loop's own descriptor. */
void loop_finish(struct loop *l);

/** Watches a descriptor for events. Returns PRL_OK or PRL_E_IO. */
enum prl_code loop_add(struct loop *l, struct loop_fd *f, uint32_t events,
		       struct prl_error *err);

/** Changes the events of a watched descriptor. */
void loop_change(struct loop *l, struct loop_fd *f, uint32_t events);

/** Ends the watching; its memory may be freed at once. */
void loop_remove(struct loop *l, struct loop_fd *f);

/** Adds a timer, unset. */
void loop_timer_add(struct loop *l, struct loop_timer *t);

/** Takes a timer out. */
void loop_timer_remove(struct loop *l, struct loop_timer *t);

/** Handles events until one round is done or the deadline has come. */
void loop_once(struct loop *l, int64_t deadline);

/** Handles events until loop_stop is called from one of them. */
void loop_run(struct loop *l);

/** Makes loop_run return. */
void loop_stop(struct loop *l);

#endif
