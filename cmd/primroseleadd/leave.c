#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <primroselead/stop.h>

/* Longest wait, in ms, until the last answers are sent. */
#define FLUSH_MAX_MS 200

/* Timeout for releasing capacity once no request is open, in ms. */
#define RELEASE_TIMEOUT_MS 15000

void leave_begin(struct control *c)
{
	if (c->leaving_since_ms)
		return;
	c->leaving_since_ms = prl_now_ms();
	/* With service files nothing limits the time that a stop takes. */
	if (control_follows_manifest(c))
		atomic_store(&c->proxy.end_ms,
			     limit_stop_end(c->last_tick_ms,
					    c->bounds.shutdown_grace_ms));
	atomic_store(&c->proxy.leaving, 1);
	member_leave(&c->members);
	if (control_follows_manifest(c))
		registry_deregister(c);
	log_event(LOG_LEVEL_AUDIT, "leaving", NULL);
}

/*
 * Callers may hold look-up answers that still name this VM, so requests are
 * accepted for the drain time before listeners close.
 */
static void quiesce(struct control *c, int64_t now)
{
	if (now < c->leaving_since_ms + c->settings->control.drain)
		return;
	c->quiesced = 1;
	atomic_store(&c->proxy.terminating, control_follows_manifest(c));
	proxy_quiesce(&c->proxy);
	log_event(LOG_LEVEL_AUDIT, "quiesced", NULL);
}

/*
 * Answers the requests that are still open when the process has to end, and
 * ends it once these answers are sent.
 */
static void end(struct control *c, int64_t now)
{
	char open[LOG_NUMBER_MAX];

	if (!c->flush_until_ms) {
		c->flush_until_ms = now + FLUSH_MAX_MS;
		atomic_store(&c->proxy.terminating, 1);
		proxy_end_requests(&c->proxy);
		log_format_number(open, atomic_load(&c->proxy.open_requests));
		log_event(LOG_LEVEL_AUDIT, "ending", "open", open, NULL);
		return;
	}
	if (now >= c->flush_until_ms || !atomic_load(&c->proxy.open_requests))
		loop_stop(&c->loop);
}

/*
 * Whether capacity can be released: no request is open. With service files,
 * open connections must also have been idle for the idle timeout, since a
 * caller may be sending a request on one of them.
 */
static int is_drained(struct control *c, int64_t now)
{
	int64_t idle_ms = c->settings->traffic.idle * 1000;

	/*
	 * Callers of routed requests retry a request that was sent while its
	 * idle connection was being closed, so open connections need no wait.
	 */
	if (control_follows_manifest(c))
		return !atomic_load(&c->proxy.open_requests);

	if (!proxy_count_open(&c->proxy))
		return 1;
	if (atomic_load(&c->proxy.open_requests)) {
		c->wait_since_ms = now;
		return 0;
	}
	return c->wait_since_ms && now >= c->wait_since_ms + idle_ms;
}

void leave_tick(struct control *c, int64_t now)
{
	if (!c->leaving_since_ms)
		return;
	if (now >= atomic_load(&c->proxy.end_ms)) {
		end(c, now);
		return;
	}
	if (!c->quiesced) {
		quiesce(c, now);
		c->wait_since_ms = now;
		return;
	}
	if (!c->releasing_capacity) {
		if (!is_drained(c, now))
			return;
		c->releasing_capacity = 1;
		c->wait_since_ms = now;
	}
	if (grants_release_all(c) ||
	    now >= c->wait_since_ms + RELEASE_TIMEOUT_MS)
		loop_stop(&c->loop);
}
