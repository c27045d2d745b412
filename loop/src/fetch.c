#include <netinet/in.h>
#include <netinet/tcp.h>
#include <primroselead/clock.h>
#include <primroselead/fetch.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

/* Idle time before TCP keep-alive probes a connection, and between two probes,
 * in seconds. */
#define KEEPALIVE_S 1L

/* libcurl has dropped bytes that were rejected as a transfer was continued, and
 * would report it as successful or wait for more. */
static void complete_failed(struct fetch_pool *p)
{
	struct fetch *f;

	while ((f = p->failed)) {
		p->failed = f->next_failed;
		curl_multi_remove_handle(p->multi, f->easy);
		f->done(f, f->unpause_result);
	}
}

static void complete_transfers(struct fetch_pool *p)
{
	struct fetch *f;
	CURLMsg *msg;
	CURLcode result;
	int left;

	complete_failed(p);
	while ((msg = curl_multi_info_read(p->multi, &left))) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		result = msg->data.result;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
				  (char **)&f);
		curl_multi_remove_handle(p->multi, f->easy);
		f->done(f, result);
	}
}

static void on_socket_ready(struct loop_fd *f, uint32_t events)
{
	struct fetch_pool *p = f->ctx;
	int running;
	int flags = 0;

	if (events & EPOLLIN)
		flags |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		flags |= CURL_CSELECT_OUT;
	if (events & (EPOLLERR | EPOLLHUP))
		flags |= CURL_CSELECT_ERR;
	curl_multi_socket_action(p->multi, f->fd, flags, &running);
	complete_transfers(p);
}

static void unwatch_socket(struct fetch_pool *p, struct loop_fd *watch)
{
	if (!watch)
		return;
	loop_remove(p->loop, watch);
	free(watch);
}

static int watch_socket(struct fetch_pool *p, curl_socket_t fd, uint32_t events)
{
	struct loop_fd *watch = calloc(1, sizeof(*watch));

	if (!watch)
		return -1;
	watch->fd = fd;
	watch->on_ready = on_socket_ready;
	watch->ctx = p;
	if (loop_add(p->loop, watch, events, NULL)) {
		free(watch);
		return -1;
	}
	curl_multi_assign(p->multi, fd, watch);
	return 0;
}

static int on_socket_interest(CURL *easy, curl_socket_t fd, int what, void *ctx,
			      void *assigned)
{
	struct fetch_pool *p = ctx;
	uint32_t events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		unwatch_socket(p, assigned);
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		events |= EPOLLOUT;
	if (!assigned)
		return watch_socket(p, fd, events);
	loop_modify(p->loop, assigned, events);
	return 0;
}

static int on_timeout_change(CURLM *multi, long ms, void *ctx)
{
	struct fetch_pool *p = ctx;

	(void)multi;
	p->timer.deadline_ms = ms < 0 ? PRL_NEVER : prl_now_ms() + ms;
	return 0;
}

static void on_timer(struct loop_timer *t, int64_t now)
{
	struct fetch_pool *p = t->ctx;
	int running;

	(void)now;
	curl_multi_socket_action(p->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	complete_transfers(p);
}

enum prl_code fetch_pool_init(struct fetch_pool *p, struct loop *l,
			      struct prl_error *err)
{
	memset(p, 0, sizeof(*p));
	p->loop = l;
	p->multi = curl_multi_init();
	if (!p->multi)
		return prl_error_set(err, PRL_E_MEMORY,
				     "HTTP client: out of memory");
	curl_multi_setopt(p->multi, CURLMOPT_SOCKETFUNCTION,
			  on_socket_interest);
	curl_multi_setopt(p->multi, CURLMOPT_SOCKETDATA, p);
	curl_multi_setopt(p->multi, CURLMOPT_TIMERFUNCTION, on_timeout_change);
	curl_multi_setopt(p->multi, CURLMOPT_TIMERDATA, p);
	curl_multi_setopt(p->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	p->timer.on_expiry = on_timer;
	p->timer.ctx = p;
	loop_timer_add(l, &p->timer);
	return PRL_OK;
}

void fetch_pool_finish(struct fetch_pool *p)
{
	curl_multi_cleanup(p->multi);
	loop_timer_remove(p->loop, &p->timer);
}

static int set_user_timeout(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	const int *ms = ctx;

	(void)purpose;
	/* Keep-alive alone does not detect a dead peer while sent data is
	 * unacknowledged; TCP_USER_TIMEOUT does. */
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, ms, sizeof(*ms));
	return CURL_SOCKOPT_OK;
}

void fetch_set_peer_timeout(CURL *easy, const int *timeout_ms)
{
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, set_user_timeout);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, timeout_ms);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_S);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_S);
}

enum prl_code fetch_start(struct fetch_pool *p, struct fetch *f,
			  struct prl_error *err)
{
	CURLMcode rc;

	f->unpause_result = CURLE_OK;
	curl_easy_setopt(f->easy, CURLOPT_PRIVATE, f);
	rc = curl_multi_add_handle(p->multi, f->easy);
	if (rc)
		return prl_error_set(err, PRL_E_IO, "HTTP client: %s",
				     curl_multi_strerror(rc));
	return PRL_OK;
}

static void remove_failed(struct fetch_pool *p, const struct fetch *f)
{
	struct fetch **at = &p->failed;

	while (*at && *at != f)
		at = &(*at)->next_failed;
	if (*at)
		*at = f->next_failed;
}

void fetch_cancel(struct fetch_pool *p, struct fetch *f)
{
	remove_failed(p, f);
	curl_multi_remove_handle(p->multi, f->easy);
}

void fetch_unpause(struct fetch_pool *p, struct fetch *f)
{
	CURLcode result = curl_easy_pause(f->easy, CURLPAUSE_CONT);

	if (result && !f->unpause_result) {
		f->unpause_result = result;
		f->next_failed = p->failed;
		p->failed = f;
	}
	/* libcurl continues the transfer when its timeout action runs. */
	p->timer.deadline_ms = prl_now_ms();
}
