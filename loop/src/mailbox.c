#include <errno.h>
#include <primroselead/mailbox.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

static void receive_all(struct mailbox *m)
{
	void *item;

	while ((item = g_async_queue_try_pop(m->queue)))
		m->receive(m->ctx, item);
}

static void woken(struct loop_fd *f, uint32_t events)
{
	uint64_t count;

	(void)events;
	/* Cleared before the queue is read: a later send wakes again. */
	if (read(f->fd, &count, sizeof(count)) < 0 && errno != EAGAIN)
		return;
	receive_all(f->ctx);
}

enum prl_code mailbox_init(struct mailbox *m, struct loop *l,
			   void (*receive)(void *ctx, void *item), void *ctx,
			   struct prl_error *err)
{
	m->receive = receive;
	m->ctx = ctx;
	m->wake.fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (m->wake.fd < 0)
		return prl_fail(err, PRL_E_IO, "eventfd: %s", strerror(errno));
	m->wake.ready = woken;
	m->wake.ctx = m;
	m->queue = g_async_queue_new();
	return loop_add(l, &m->wake, EPOLLIN, err);
}

void mailbox_finish(struct mailbox *m, struct loop *l)
{
	receive_all(m);
	loop_remove(l, &m->wake);
	close(m->wake.fd);
	g_async_queue_unref(m->queue);
}

void mailbox_send(struct mailbox *m, void *item)
{
	uint64_t one = 1;

	g_async_queue_push(m->queue, item);
	if (write(m->wake.fd, &one, sizeof(one)) < 0)
		return; /* the counter is full, so the loop is awake */
}
