#include <glib.h>
#include <primroselead/backoff.h>
#include <primroselead/clock.h>
#include <primroselead/follow.h>
#include <stdio.h>
#include <string.h>

/* Timeout of a list in ms; long, since the store may be slow. */
#define LIST_TIMEOUT_MS 3000

/* Timeout of a watch in ms. The store is asked to answer earlier; the timeout
 * is the only sign of a watch that the store has silently dropped. */
#define WATCH_TIMEOUT_MS 1500

/* Delay in ms after a watch that returned changes, so that the next one returns
 * several changes at once. */
#define BATCH_DELAY_MS 100

/* Delay in ms after a failed call; doubles from the minimum to the maximum. */
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 800

/* Time in ms without a tick after which the process stood still. */
#define STANDSTILL_MS 500

void store_follower_init(struct store_follower *f, struct store *s,
			 const char *kind)
{
	memset(f, 0, sizeof(*f));
	f->store = s;
	snprintf(f->kind, sizeof(f->kind), "%s", kind);
}

static int64_t retry_delay_ms(const struct store_follower *f, uint64_t random)
{
	return prl_jitter(prl_backoff(RETRY_MIN_MS, RETRY_MAX_MS,
				      f->consecutive_failures - 1),
			  random);
}

static void call_failed(struct store_follower *f)
{
	if (f->call.err.code == PRL_E_STALE) {
		f->listed = 0;
		f->next_call_ms = 0;
		return;
	}
	if (!f->consecutive_failures++ && f->on_reachability)
		f->on_reachability(f, 0, &f->call.err);
	/* The next tick has the random number that the delay needs. */
	f->next_call_ms = PRL_NEVER;
}

/* The store is known to be up. */
static void end_failures(struct store_follower *f)
{
	if (!f->consecutive_failures)
		return;
	f->consecutive_failures = 0;
	f->recovered_ms = prl_now_ms();
	if (f->on_reachability)
		f->on_reachability(f, 1, NULL);
}

static void call_succeeded(struct store_follower *f)
{
	end_failures(f);
	f->next_call_ms = 0;
}

void store_follower_confirm(struct store_follower *f, int64_t revision,
			    int64_t confirmed_ms)
{
	end_failures(f);
	f->listed = 1;
	if (revision > f->revision)
		f->revision = revision;
	if (confirmed_ms > f->confirmed_ms)
		f->confirmed_ms = confirmed_ms;
}

static int64_t next_call_after(const struct store_follower *f, int64_t now)
{
	if (f->poll_interval_ms)
		return now + f->poll_interval_ms;
	return f->call.nobject ? now + BATCH_DELAY_MS : 0;
}

static const char *name_of(const struct store_follower *f,
			   const struct store_object *o)
{
	return o->key + strlen(f->kind) + 1;
}

static void report_list(struct store_follower *f)
{
	f->on_change(f, STORE_CHANGE_LIST_BEGIN, NULL, NULL);
	for (int i = 0; i < f->call.nobject; i++)
		f->on_change(f, STORE_CHANGE_PUT,
			     name_of(f, &f->call.object[i]),
			     &f->call.object[i]);
	f->listed = 1;
	f->on_change(f, STORE_CHANGE_LIST_END, NULL, NULL);
}

static void report_changes(struct store_follower *f)
{
	for (int i = 0; i < f->call.nobject; i++) {
		const struct store_object *o = &f->call.object[i];

		f->on_change(f, o->len ? STORE_CHANGE_PUT : STORE_CHANGE_REMOVE,
			     name_of(f, o), o);
	}
}

/* An answer that is read now had not come by the last tick. */
static int64_t time_of_answer(const struct store_follower *f, int64_t now)
{
	return now - f->last_tick_ms > STANDSTILL_MS ? f->last_tick_ms : now;
}

static void on_done(struct store_call *call)
{
	struct store_follower *f = call->ctx;
	int64_t now = prl_now_ms();

	f->call_active = 0;
	if (call->err.code) {
		call_failed(f);
		store_call_finish(call);
		return;
	}
	call_succeeded(f);
	f->confirmed_ms = MAX(f->confirmed_ms, time_of_answer(f, now));
	f->revision = call->revision;
	if (call->op == STORE_LIST)
		report_list(f);
	else
		report_changes(f);
	f->next_call_ms = next_call_after(f, now);
	store_call_finish(call);
}

static void start_call(struct store_follower *f, int64_t now)
{
	struct store_call *call = &f->call;

	memset(call, 0, sizeof(*call));
	snprintf(call->key, sizeof(call->key), "%.100s/", f->kind);
	call->op = f->listed && !f->poll_interval_ms ? STORE_WATCH : STORE_LIST;
	call->version = f->revision;
	call->deadline_ms = now + (call->op == STORE_WATCH ? WATCH_TIMEOUT_MS
							   : LIST_TIMEOUT_MS);
	call->done = on_done;
	call->ctx = f;
	if (store_call_start(f->store, call, &call->err))
		call_failed(f);
	else
		f->call_active = 1;
}

void store_follower_tick(struct store_follower *f, int64_t now, uint64_t random)
{
	f->last_tick_ms = now;
	if (f->call_active)
		return;
	if (f->next_call_ms == PRL_NEVER)
		f->next_call_ms = now + retry_delay_ms(f, random);
	if (now >= f->next_call_ms)
		start_call(f, now);
}

void store_follower_finish(struct store_follower *f)
{
	if (f->call_active)
		store_call_cancel(&f->call);
	f->call_active = 0;
}
