#include <errno.h>
#include <primroselead/mailbox.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Returns null if the queue is empty. */
static void *pop(struct mailbox *m)
{
	void *item;

	apr_thread_mutex_lock(m->lock);
	item = g_queue_pop_head(&m->queue);
	apr_thread_mutex_unlock(m->lock);
	return item;
}

static void receive_all(struct mailbox *m)
{
	void *item;

	while ((item = pop(m)))
		m->receive(m->ctx, item);
}

static void on_wake(struct loop_fd *f, uint32_t events)
{
	uint64_t count;

	(void)events;
	/* The counter is reset before the queue is read, so that a concurrent
	 * send wakes the loop again. */
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
	g_queue_init(&m->queue);
	if (apr_pool_create_unmanaged(&m->pool))
		return prl_error_set(err, PRL_E_MEMORY,
				     "mailbox: out of memory");
	if (apr_thread_mutex_create(&m->lock, APR_THREAD_MUTEX_DEFAULT,
				    m->pool))
		return prl_error_set(err, PRL_E_MEMORY,
				     "can't create the lock of a mailbox");
	m->wake.fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (m->wake.fd < 0)
		return prl_error_set(err, PRL_E_IO, "can't create eventfd: %s",
				     strerror(errno));
	m->wake.on_ready = on_wake;
	m->wake.ctx = m;
	return loop_add(l, &m->wake, EPOLLIN, err);
}

void mailbox_finish(struct mailbox *m, struct loop *l)
{
	receive_all(m);
	loop_remove(l, &m->wake);
	close(m->wake.fd);
	apr_pool_destroy(m->pool);
}

void mailbox_send(struct mailbox *m, void *item)
{
	uint64_t one = 1;

	apr_thread_mutex_lock(m->lock);
	g_queue_push_tail(&m->queue, item);
	apr_thread_mutex_unlock(m->lock);
	if (write(m->wake.fd, &one, sizeof(one)) < 0)
		return; /* the counter is at its maximum: a wake-up is pending
			 */
}
