#include "control.h"
#include <errno.h>
#include <primroselead/backoff.h>
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/log.h>
#include <primroselead/platform.h>
#include <primroselead/stop.h>
#include <primroselead/stop_signal.h>
#include <signal.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/random.h>
#include <sys/signalfd.h>
#include <unistd.h>

/* Shortest and longest backoff delay, in milliseconds. */
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 10000

uint64_t control_random(void)
{
	uint64_t r = 0;

	if (getrandom(&r, sizeof(r), 0) != sizeof(r))
		return prl_hash_combine((uint64_t)prl_now_us(),
					(uint64_t)getpid());
	return r;
}

void backoff_schedule(struct backoff *b, int64_t now)
{
	int64_t pause =
		prl_backoff(BACKOFF_MIN_MS, BACKOFF_MAX_MS, b->attempts);

	b->attempts++;
	b->retry_ms = now + prl_jitter(pause, control_random());
}

void backoff_reset(struct backoff *b)
{
	b->attempts = 0;
	b->retry_ms = 0;
}

static void on_signal(struct loop_fd *f, uint32_t events)
{
	struct signalfd_siginfo info;

	(void)events;
	/* Before the signal is received, so that a traffic thread sees one or
	 * the other. */
	if (stop_signal_is_pending())
		leave_begin(f->ctx);
	while (read(f->fd, &info, sizeof(info)) == sizeof(info)) {
		if (info.ssi_signo == SIGHUP)
			reload_signalled(f->ctx);
		else
			leave_begin(f->ctx);
	}
}

static enum prl_code watch_signals(struct control *c, struct prl_error *err)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	c->signal_fd.fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (c->signal_fd.fd < 0)
		return prl_error_set(err, PRL_E_IO, "signalfd: %s",
				     strerror(errno));
	c->signal_fd.on_ready = on_signal;
	c->signal_fd.ctx = c;
	return loop_add(&c->loop, &c->signal_fd, EPOLLIN, err);
}

/* A stop signal that was sent during a pause may have come any time since the
 * last tick before it. */
static void set_last_tick(struct control *c, int64_t now)
{
	if (stop_signal_is_pending())
		return;
	c->last_tick_ms = now;
	if (control_follows_manifest(c))
		atomic_store(&c->proxy.end_if_signalled_ms,
			     limit_stop_end(now, c->bounds.shutdown_grace_ms));
}

/*
 * A gap between ticks longer than the lease means that the process was
 * suspended. Other VMs may have taken over its capacity meanwhile, so the
 * ledgers must be read before any of it is used again.
 */
static void detect_pause(struct control *c, int64_t now)
{
	char gap[24];

	if (now - c->last_tick_ms <= c->settings->control.lease) {
		set_last_tick(c, now);
		return;
	}
	g_snprintf(gap, sizeof(gap), "%lld",
		   (long long)(now - c->last_tick_ms));
	log_event(LOG_LEVEL_AUDIT, "paused", "ms", gap, NULL);
	set_last_tick(c, now);
	c->unconfirmed = 1;
}

static void publish_metrics(struct control *c)
{
	struct metrics *m = &c->proxy.control_metrics;

	metrics_set(m, METRIC_STORE_READS,
		    c->store.requests_sent[STORE_GET] +
			    c->store.requests_sent[STORE_LIST]);
	metrics_set(m, METRIC_STORE_WRITES, c->store.requests_sent[STORE_PUT]);
	metrics_set(m, METRIC_STORE_WATCHES,
		    c->store.requests_sent[STORE_WATCH]);
	metrics_set(m, METRIC_RPC_SENT, c->wire.sent_datagrams);
	metrics_set(m, METRIC_RPC_SENT_BYTES, c->wire.sent_bytes);
	metrics_set(m, METRIC_RPC_RECEIVED, c->wire.received_datagrams);
	metrics_set(m, METRIC_RPC_RECEIVED_BYTES, c->wire.received_bytes);
	metrics_set(m, METRIC_RPC_REJECTED, c->wire.rejected_datagrams);
	metrics_set(m, METRIC_LOG_LINES_LOST, (uint64_t)log_lost_lines());
}

static void on_tick(struct loop_timer *t, int64_t now)
{
	struct control *c = t->ctx;

	/* After a pause the timer may be handled before the signal. */
	on_signal(&c->signal_fd, EPOLLIN);
	detect_pause(c, now);
	reload_tick(c, now);
	peers_tick(c, now);
	if (control_follows_manifest(c)) {
		objects_tick(c, now);
		source_tick(c, now);
		registry_tick(c, now);
		readers_tick(c, now);
		health_tick(c, now);
		news_tick(c);
		reach_tick(c, now);
		loads_tick(c, now);
		crashes_tick(c, now);
		quarantines_tick(c, now);
		usage_tick(c, now);
	} else {
		sync_tick(c, now);
	}
	if (c->view_outdated && c->sync.ready)
		apply_view(c);
	grants_tick(c, now);
	loans_tick(c, now);
	shifts_tick(c, now);
	if (!c->unconfirmed && !c->vm_list.this_is_destroyed)
		atomic_store(&c->proxy.lease_until_ms,
			     now + c->settings->control.lease);
	leave_tick(c, now);
	publish_metrics(c);
	status_tick(c, now);
	t->deadline_ms = now + TICK_MS;
}

static enum prl_code init_io(struct control *c, struct prl_error *err)
{
	if (loop_init(&c->loop, err) ||
	    fetch_pool_init(&c->fetch_pool, &c->loop, err) ||
	    mailbox_init(&c->claims.mailbox, &c->loop, claims_handle_local, c,
			 err) ||
	    mailbox_init(&c->shortage_mailbox, &c->loop, loans_handle_shortage,
			 c, err) ||
	    mailbox_init(&c->news_mailbox, &c->loop, news_handle_local, c,
			 err) ||
	    watch_signals(c, err))
		return err->code;
	store_init(&c->store, &c->fetch_pool, c->settings->store.address);
	return PRL_OK;
}

enum prl_code control_read_bounds(const struct prl_settings *s,
				  struct fleet_bounds *out,
				  struct prl_error *err)
{
	fleet_bounds_init(out);
	for (int i = 0; i < s->nbound; i++)
		if (platform_bound_parse(s->bound[i].label, s->bound[i].is,
					 out))
			return prl_error_set(
				err, PRL_E_CONFIG,
				"bound \"%s\" \"%s\": value is not a number "
				"from 0 to 1000000",
				s->bound[i].label, s->bound[i].is);
	return PRL_OK;
}

int control_follows_manifest(const struct control *c)
{
	return c->settings->steering.source == PRL_STEERING_SOURCE_MANIFEST;
}

enum prl_code control_init(struct control *c, const struct prl_settings *s,
			   const char *path, apr_pool_t *pool,
			   struct prl_error *err)
{
	int region;

	memset(c, 0, sizeof(*c));
	c->settings = s;
	c->reload.path = path;
	c->pool = pool;
	c->started_ms = prl_now_ms();
	c->last_tick_ms = c->started_ms;
	vm_list_init(c);
	grants_init(c);
	shifts_init(c);
	config_builder_init(&c->builder);
	region = config_region_index(&c->builder, s->vm.region);
	if (control_read_bounds(s, &c->bounds, err) || init_io(c, err) ||
	    claims_init(c, err) || peers_init(c, err) ||
	    proxy_init(&c->proxy, s, &c->bounds, region, &c->claims.mailbox,
		       &c->shortage_mailbox, &c->news_mailbox, pool, err))
		return err->code;
	sync_init(c);
	objects_init(c);
	source_init(c);
	registry_init(c);
	readers_init(c);
	health_init(c);
	reach_init(c);
	crashes_init(c);
	quarantines_init(c);
	usage_init(c);
	loads_init(c);
	if (proxy_start(&c->proxy, pool, err))
		return err->code;
	c->tick_timer.on_expiry = on_tick;
	c->tick_timer.ctx = c;
	loop_timer_add(&c->loop, &c->tick_timer);
	c->tick_timer.deadline_ms = c->started_ms;
	log_event(LOG_LEVEL_AUDIT, "started", "region", s->vm.region, "domain",
		  s->vm.domain, "http", s->listen.http, NULL);
	return PRL_OK;
}

void control_run(struct control *c)
{
	loop_run(&c->loop);
}

void control_finish(struct control *c)
{
	proxy_stop(&c->proxy);
	mailbox_finish(&c->news_mailbox, &c->loop);
	sync_finish(c);
	usage_finish(c);
	quarantines_finish(c);
	crashes_finish(c);
	reach_finish(c);
	health_finish(c);
	readers_finish(c);
	registry_finish(c);
	source_finish(c);
	objects_finish(c);
	grants_finish(c);
	shifts_finish(c);
	mailbox_finish(&c->claims.mailbox, &c->loop);
	mailbox_finish(&c->shortage_mailbox, &c->loop);
	claims_finish(c);
	wire_node_finish(&c->wire);
	fetch_pool_finish(&c->fetch_pool);
	member_finish(&c->members);
	proxy_finish(&c->proxy);
	config_builder_finish(&c->builder);
	vm_list_finish(c);
	loop_remove(&c->loop, &c->signal_fd);
	close(c->signal_fd.fd);
	loop_finish(&c->loop);
	log_event(LOG_LEVEL_AUDIT, "stopped", NULL);
}
