#include "codec.h"
#include <errno.h>
#include <primroselead/clock.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Receive buffer of the socket in bytes, for bursts of datagrams. */
#define SOCKET_BUFFER_BYTES (1 << 20)

/* Maximum number of datagrams received in one round of the loop, so that timers
 * are not starved. */
#define DATAGRAMS_PER_ROUND 64

/* Upper bound of the encoded RPC header of a call. */
#define CALL_HEADER_BYTES 128

static void call_free(void *p)
{
	struct wire_call *c = p;

	free(c->datagram);
	free(c);
}

static void send_datagram(struct wire_node *n, const void *data, size_t len,
			  const struct sockaddr_storage *to, socklen_t to_len)
{
	n->sent_datagrams++;
	n->sent_bytes += len;
	wire_transmit(n->fd.fd, data, len, to, to_len);
}

static void update_timer(struct wire_node *n)
{
	GHashTableIter it;
	void *value;

	n->timer.deadline_ms = PRL_NEVER;
	g_hash_table_iter_init(&it, n->pending_calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct wire_call *c = value;

		if (c->deadline_ms < n->timer.deadline_ms)
			n->timer.deadline_ms = c->deadline_ms;
		if (c->retransmit_at_ms < n->timer.deadline_ms)
			n->timer.deadline_ms = c->retransmit_at_ms;
	}
}

/* Completes a call, with a null result at its deadline. The call leaves the
 * table first, since its callback may start other calls. */
static void complete_call(struct wire_node *n, struct wire_call *c,
			  const struct wire_result *result)
{
	g_hash_table_steal(n->pending_calls, GUINT_TO_POINTER(c->xid));
	if (c->done)
		c->done(c->ctx, result);
	call_free(c);
}

/* Retransmits the calls whose retransmission time has come. Returns the calls
 * whose deadline has passed: they can't be completed while the table is
 * iterated. */
static GPtrArray *retransmit_calls(struct wire_node *n, int64_t now)
{
	GPtrArray *expired = g_ptr_array_new();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, n->pending_calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct wire_call *c = value;

		if (c->deadline_ms <= now) {
			g_ptr_array_add(expired, c);
			continue;
		}
		if (c->retransmit_at_ms > now)
			continue;
		c->retransmit_at_ms = now + c->retransmit_ms;
		send_datagram(n, c->datagram, c->datagram_len, &c->to,
			      c->to_len);
	}
	return expired;
}

static void on_timer(struct loop_timer *t, int64_t now)
{
	struct wire_node *n = t->ctx;
	GPtrArray *expired = retransmit_calls(n, now);

	for (guint i = 0; i < expired->len; i++)
		complete_call(n, g_ptr_array_index(expired, i), NULL);
	g_ptr_array_free(expired, TRUE);
	update_timer(n);
}

static int same_address(const struct sockaddr_storage *a,
			const struct sockaddr_storage *b, socklen_t len)
{
	return !memcmp(a, b, len);
}

static void receive_reply(struct wire_node *n, size_t len, uint32_t xid,
			  const struct sockaddr_storage *from)
{
	struct wire_call *c =
		g_hash_table_lookup(n->pending_calls, GUINT_TO_POINTER(xid));
	struct wire_result result;

	if (!c || !same_address(from, &c->to, c->to_len)) {
		n->rejected_datagrams++;
		return;
	}
	result.proc = c->proc;
	if (wire_decode_reply(n->buffer, len, &result)) {
		n->rejected_datagrams++;
		return;
	}
	complete_call(n, c, &result);
	wire_result_free(&result);
}

static void receive_call(struct wire_node *n, size_t len,
			 struct wire_request *r)
{
	struct wire_args args;

	if (wire_decode_call(n->buffer, len, r, &args)) {
		n->rejected_datagrams++;
		return;
	}
	n->handle(n->ctx, r, &args);
	wire_args_free(&args);
}

static int receive_datagram(struct wire_node *n)
{
	struct wire_request r = {.from_len = sizeof(r.from)};
	uint32_t xid;
	int is_reply;
	ssize_t len;

	len = recvfrom(n->fd.fd, n->buffer, sizeof(n->buffer), MSG_DONTWAIT,
		       (struct sockaddr *)&r.from, &r.from_len);
	if (len < 0)
		return 0;
	n->received_datagrams++;
	n->received_bytes += (uint64_t)len;
	if (len > WIRE_DATAGRAM_MAX ||
	    wire_decode_header(n->buffer, (size_t)len, &xid, &is_reply)) {
		n->rejected_datagrams++;
		return 1;
	}
	if (is_reply)
		receive_reply(n, (size_t)len, xid, &r.from);
	else
		receive_call(n, (size_t)len, &r);
	return 1;
}

static void on_ready(struct loop_fd *f, uint32_t events)
{
	struct wire_node *n = f->ctx;
	int reads = 0;

	(void)events;
	while (reads < DATAGRAMS_PER_ROUND && receive_datagram(n))
		reads++;
	update_timer(n);
}

static enum prl_code bind_socket(struct wire_node *n, const char *address,
				 struct prl_error *err)
{
	struct sockaddr_storage addr;
	socklen_t len;
	int size = SOCKET_BUFFER_BYTES;

	if (prl_address_parse(address, &addr, &len))
		return prl_error_set(
			err, PRL_E_IO,
			"address \"%s\" is not a numeric IP address "
			"and port",
			address);
	n->fd.fd = socket(addr.ss_family,
			  SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (n->fd.fd < 0)
		return prl_error_set(err, PRL_E_IO,
				     "can't create a UDP socket: %s",
				     strerror(errno));
	setsockopt(n->fd.fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (bind(n->fd.fd, (struct sockaddr *)&addr, len)) {
		prl_error_set(err, PRL_E_IO, "can't bind UDP socket to %s: %s",
			      address, strerror(errno));
		close(n->fd.fd);
		return PRL_E_IO;
	}
	return PRL_OK;
}

enum prl_code
wire_node_init(struct wire_node *n, struct loop *l, const char *address,
	       void (*handle)(void *ctx, const struct wire_request *r,
			      const struct wire_args *args),
	       void *ctx, struct prl_error *err)
{
	memset(n, 0, sizeof(*n));
	if (bind_socket(n, address, err))
		return PRL_E_IO;
	n->loop = l;
	n->handle = handle;
	n->ctx = ctx;
	n->pending_calls = g_hash_table_new_full(NULL, NULL, NULL, call_free);
	/* A random first transaction id, so that a restarted VM does not accept
	 * replies to calls of its previous process. */
	n->next_xid = g_random_int();
	n->fd.on_ready = on_ready;
	n->fd.ctx = n;
	n->timer.on_expiry = on_timer;
	n->timer.ctx = n;
	loop_timer_add(l, &n->timer);
	return loop_add(l, &n->fd, EPOLLIN, err);
}

static void discard_call(void *key, void *value, void *ctx)
{
	struct wire_call *c = value;

	(void)key;
	(void)ctx;
	if (c->discard)
		c->discard(c->ctx);
}

void wire_node_finish(struct wire_node *n)
{
	loop_remove(n->loop, &n->fd);
	loop_timer_remove(n->loop, &n->timer);
	close(n->fd.fd);
	g_hash_table_foreach(n->pending_calls, discard_call, NULL);
	g_hash_table_destroy(n->pending_calls);
}

static struct wire_call *new_call(struct wire_node *n,
				  const struct wire_args *args,
				  const struct wire_call_options *o)
{
	struct wire_call *c = calloc(1, sizeof(*c));
	size_t size = wire_args_size(args) + CALL_HEADER_BYTES;

	if (!c)
		return NULL;
	c->datagram = malloc(size);
	if (!c->datagram) {
		free(c);
		return NULL;
	}
	c->node = n;
	c->xid = n->next_xid++;
	c->proc = args->proc;
	c->deadline_ms = o->deadline_ms;
	c->retransmit_ms = o->retransmit_ms;
	c->retransmit_at_ms = PRL_NEVER;
	if (o->retransmit_ms)
		c->retransmit_at_ms = prl_now_ms() + o->retransmit_ms;
	c->done = o->done;
	c->discard = o->discard;
	c->ctx = o->ctx;
	c->datagram_len = wire_encode_call(c->datagram, size, c->xid, args);
	return c;
}

/* Encodes a call for an address; the caller frees it by call_free. */
static enum prl_code prepare_call(struct wire_node *n, const char *to,
				  const struct wire_args *args,
				  const struct wire_call_options *o,
				  struct wire_call **out, struct prl_error *err)
{
	struct wire_call *c = new_call(n, args, o);

	if (!c)
		return prl_error_set(err, PRL_E_MEMORY,
				     "call to %s: out of memory", to);
	if (!c->datagram_len || c->datagram_len > WIRE_DATAGRAM_MAX) {
		call_free(c);
		return prl_error_set(
			err, PRL_E_LIMIT,
			"call of procedure %u to %s does not fit in a "
			"datagram of %d bytes",
			args->proc, to, WIRE_DATAGRAM_MAX);
	}
	if (prl_address_parse(to, &c->to, &c->to_len)) {
		call_free(c);
		return prl_error_set(
			err, PRL_E_IO,
			"address \"%s\" is not a numeric IP address "
			"and port",
			to);
	}
	*out = c;
	return PRL_OK;
}

enum prl_code wire_call(struct wire_node *n, const char *to,
			const struct wire_args *args,
			const struct wire_call_options *o,
			struct prl_error *err)
{
	struct wire_call *c = NULL;
	enum prl_code rc = prepare_call(n, to, args, o, &c, err);

	if (!c)
		return rc;
	g_hash_table_insert(n->pending_calls, GUINT_TO_POINTER(c->xid), c);
	send_datagram(n, c->datagram, c->datagram_len, &c->to, c->to_len);
	if (c->deadline_ms < n->timer.deadline_ms)
		n->timer.deadline_ms = c->deadline_ms;
	if (c->retransmit_at_ms < n->timer.deadline_ms)
		n->timer.deadline_ms = c->retransmit_at_ms;
	return PRL_OK;
}

enum prl_code wire_notify(struct wire_node *n, const char *to,
			  const struct wire_args *args, struct prl_error *err)
{
	const struct wire_call_options none = {0};
	struct wire_call *c = NULL;
	enum prl_code rc = prepare_call(n, to, args, &none, &c, err);

	if (!c)
		return rc;
	send_datagram(n, c->datagram, c->datagram_len, &c->to, c->to_len);
	call_free(c);
	return PRL_OK;
}

enum prl_code wire_reply(struct wire_node *n, const struct wire_request *r,
			 const struct wire_result *result,
			 struct prl_error *err)
{
	static const size_t size = WIRE_DATAGRAM_MAX;
	char *bytes = malloc(size);
	size_t len;

	if (!bytes)
		return prl_error_set(err, PRL_E_MEMORY,
				     "reply to a call: out of memory");
	len = wire_encode_reply(bytes, size, r->xid, result);
	if (len)
		send_datagram(n, bytes, len, &r->from, r->from_len);
	free(bytes);
	if (!len)
		return prl_error_set(err, PRL_E_LIMIT,
				     "reply to procedure %u does not fit in a "
				     "datagram of %d bytes",
				     r->proc, WIRE_DATAGRAM_MAX);
	return PRL_OK;
}
