#include <errno.h>
#include <primroselead/clock.h>
#include <primroselead/loop.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Maximum number of events taken from one epoll_wait(). */
#define EVENT_BATCH (int)(sizeof(((struct loop *)0)->batch) / sizeof(void *))

/* Longest epoll_wait(), so that a wrong deadline can't stall the loop. */
#define WAIT_MAX_MS 1000

enum prl_code loop_init(struct loop *l, struct prl_error *err)
{
	memset(l, 0, sizeof(*l));
	l->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (l->epoll_fd < 0)
		return prl_error_set(err, PRL_E_IO,
				     "can't create epoll instance: %s",
				     strerror(errno));
	return PRL_OK;
}

void loop_finish(struct loop *l)
{
	close(l->epoll_fd);
}

enum prl_code loop_add(struct loop *l, struct loop_fd *f, uint32_t events,
		       struct prl_error *err)
{
	struct epoll_event ev = {.events = events, .data.ptr = f};

	if (epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, f->fd, &ev))
		return prl_error_set(err, PRL_E_IO,
				     "can't add descriptor %d to epoll: %s",
				     f->fd, strerror(errno));
	return PRL_OK;
}

void loop_modify(struct loop *l, struct loop_fd *f, uint32_t events)
{
	struct epoll_event ev = {.events = events, .data.ptr = f};

	epoll_ctl(l->epoll_fd, EPOLL_CTL_MOD, f->fd, &ev);
}

void loop_remove(struct loop *l, struct loop_fd *f)
{
	epoll_ctl(l->epoll_fd, EPOLL_CTL_DEL, f->fd, NULL);
	/* A handler may remove and free a descriptor that has an event later
	 * in the same batch. */
	for (int i = 0; i < l->nbatch; i++)
		if (l->batch[i] == f)
			l->batch[i] = NULL;
}

void loop_timer_add(struct loop *l, struct loop_timer *t)
{
	t->deadline_ms = PRL_NEVER;
	t->next = l->timers;
	l->timers = t;
}

void loop_timer_remove(struct loop *l, struct loop_timer *t)
{
	struct loop_timer **p = &l->timers;

	while (*p && *p != t)
		p = &(*p)->next;
	if (*p)
		*p = t->next;
}

static int wait_ms(const struct loop *l, int64_t deadline_ms)
{
	int64_t now = prl_now_ms();
	int64_t until = deadline_ms;

	for (const struct loop_timer *t = l->timers; t; t = t->next)
		if (t->deadline_ms < until)
			until = t->deadline_ms;
	if (until <= now)
		return 0;
	return until - now > WAIT_MAX_MS ? WAIT_MAX_MS : (int)(until - now);
}

static void run_timers(struct loop *l)
{
	int64_t now = prl_now_ms();
	struct loop_timer *next;

	for (struct loop_timer *t = l->timers; t; t = next) {
		next = t->next;
		if (t->deadline_ms > now)
			continue;
		t->deadline_ms = PRL_NEVER;
		t->on_expiry(t, now);
	}
}

void loop_run_once(struct loop *l, int64_t deadline_ms)
{
	struct epoll_event ev[EVENT_BATCH];
	int n = epoll_wait(l->epoll_fd, ev, EVENT_BATCH,
			   wait_ms(l, deadline_ms));

	l->nbatch = n > 0 ? n : 0;
	for (int i = 0; i < l->nbatch; i++)
		l->batch[i] = ev[i].data.ptr;
	for (int i = 0; i < l->nbatch; i++)
		if (l->batch[i])
			l->batch[i]->on_ready(l->batch[i], ev[i].events);
	l->nbatch = 0;
	run_timers(l);
}

void loop_run(struct loop *l)
{
	while (!l->stopped)
		loop_run_once(l, PRL_NEVER);
}

void loop_stop(struct loop *l)
{
	l->stopped = 1;
}
