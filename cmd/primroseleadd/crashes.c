#include "crashes.h"
#include "check.h"
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <string.h>

/* Timeout of the check that tells whether an upstream has ended, in ms. */
#define PROBE_TIMEOUT_MS 700

/* Time in ms after which an upstream that could not be asked, and whose entry
 * is still there, is taken not to have ended. */
#define WATCH_MS 8000

/* Checks that must be closed without an answer, one after the other, for the
 * upstream to have ended: a proxy before it accepts connections. And the pause
 * between two of them, in ms. */
#define CLOSED_MIN 3
#define CLOSED_PAUSE_MS 150

/* Time in ms in which all connections break as an upstream ends. What breaks
 * later did not run there then, though a proxy before the upstream may have
 * taken it. */
#define BREAKS_MS 300

/* Most upstreams that are watched, and most requests that break with one of
 * them and are remembered. */
#define WATCHES_MAX 256
#define SUSPECTS_MAX 64

enum watch_state {
	/** The probe is under way. */
	WATCH_PROBING,
	/** It was closed, and is made again. */
	WATCH_CLOSED,
	/** It told nothing; the entry will. */
	WATCH_WAITING,
	WATCH_ENDED,
	WATCH_LIVE,
};

/** A request that broke with an upstream. */
struct crash_suspect {
	struct prl_hash128 digest;
	uint64_t head;
	char about[QUARANTINE_ABOUT_MAX];
};

/** A start of an upstream whose connections broke. */
struct crash_watch {
	struct check probe;
	enum watch_state state;
	int nclosed;
	int64_t next_probe_ms;
	int64_t begun_ms;
	int64_t forget_at_ms;
	/** struct crash_suspect. */
	GArray *suspects;
};

static void watch_free(void *p)
{
	struct crash_watch *w = p;

	check_finish(&w->probe);
	g_array_free(w->suspects, TRUE);
	g_free(w);
}

void crashes_init(struct control *c)
{
	c->crashes.watches = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, watch_free);
}

void crashes_finish(struct control *c)
{
	g_hash_table_destroy(c->crashes.watches);
}

static void report(struct crash_watch *w, const struct crash_suspect *s)
{
	quarantines_note_crash(w->probe.control,
			       &(struct quarantines_crash){
				       .digest = &s->digest,
				       .head = s->head,
				       .upstream_id = w->probe.upstream_id,
				       .instance = w->probe.instance,
				       .about = s->about,
			       });
}

static void end_watch(struct crash_watch *w, enum watch_state state,
		      const char *reason)
{
	char n[LOG_NUMBER_MAX];

	w->state = state;
	log_format_number(n, w->suspects->len);
	log_event(LOG_LEVEL_AUDIT, "broken", "upstream", w->probe.instance,
		  "state", state == WATCH_ENDED ? "ended" : "live", "reason",
		  reason, "requests", n, NULL);
	for (guint i = 0; state == WATCH_ENDED && i < w->suspects->len; i++)
		report(w, &g_array_index(w->suspects, struct crash_suspect, i));
	g_array_set_size(w->suspects, 0);
}

/* Whether a connection was made and ended without an answer. */
static int is_closed(CURLcode result)
{
	return result == CURLE_GOT_NOTHING || result == CURLE_RECV_ERROR ||
	       result == CURLE_SEND_ERROR;
}

static void probe_again(struct crash_watch *w)
{
	w->state = WATCH_CLOSED;
	w->next_probe_ms = prl_now_ms() + CLOSED_PAUSE_MS;
}

static void on_probe_done(struct check *k, int answered)
{
	struct crash_watch *w = k->ctx;

	/* A connection alone may be that of a proxy before the upstream. */
	if (answered && k->path)
		end_watch(w, WATCH_LIVE, "it answers");
	else if (k->result == CURLE_COULDNT_CONNECT)
		end_watch(w, WATCH_ENDED, "it refuses connections");
	else if (!is_closed(k->result) || !k->path)
		w->state = WATCH_WAITING;
	else if (++w->nclosed >= CLOSED_MIN)
		end_watch(w, WATCH_ENDED, "it answers no check");
	else
		probe_again(w);
}

static void start_probe(struct crash_watch *w, int64_t now)
{
	struct prl_error err = {0};

	w->state = WATCH_PROBING;
	w->probe.deadline_ms = now + PROBE_TIMEOUT_MS;
	if (check_start(&w->probe, &err))
		w->state = WATCH_WAITING;
}

static struct crash_watch *new_watch(struct control *c,
				     const struct proxy_news *news)
{
	struct crash_watch *w = g_new0(struct crash_watch, 1);

	w->suspects = g_array_new(FALSE, FALSE, sizeof(struct crash_suspect));
	w->probe.control = c;
	w->probe.upstream_id = news->upstream_id;
	memcpy(w->probe.instance, news->instance, sizeof(w->probe.instance));
	memcpy(w->probe.address, news->u.broken.address,
	       sizeof(w->probe.address));
	check_set_path(&w->probe, news->u.broken.service);
	w->probe.done = on_probe_done;
	w->probe.ctx = w;
	g_hash_table_insert(c->crashes.watches, &w->probe.upstream_id, w);
	return w;
}

static void add_suspect(struct crash_watch *w, const struct proxy_news *news)
{
	struct crash_suspect s = {.digest = news->u.broken.digest,
				  .head = news->u.broken.head};

	memcpy(s.about, news->u.broken.about, sizeof(s.about));
	if (w->suspects->len < SUSPECTS_MAX)
		g_array_append_val(w->suspects, s);
}

/* Begins to find out about the upstream, also after it was found out: it may be
 * back, or have ended since. */
static void begin_watch(struct crash_watch *w, const struct proxy_news *news,
			int64_t now)
{
	w->begun_ms = now;
	w->forget_at_ms = now + WATCH_MS;
	w->nclosed = 0;
	add_suspect(w, news);
	start_probe(w, now);
}

void crashes_handle_broken(struct control *c, const struct proxy_news *news)
{
	int64_t now = prl_now_ms();
	struct crash_watch *w =
		g_hash_table_lookup(c->crashes.watches, &news->upstream_id);
	int is_late;

	if (!w && g_hash_table_size(c->crashes.watches) >= WATCHES_MAX)
		return;
	if (!w) {
		begin_watch(new_watch(c, news), news, now);
		return;
	}
	is_late = now >= w->begun_ms + BREAKS_MS;
	if (w->state == WATCH_LIVE || (is_late && w->state == WATCH_ENDED)) {
		begin_watch(w, news, now);
		return;
	}
	if (is_late)
		return;
	add_suspect(w, news);
	if (w->state == WATCH_ENDED)
		end_watch(w, WATCH_ENDED, "it has ended");
}

static int has_entry(struct control *c, const struct crash_watch *w)
{
	const struct inventory_upstream_key key = {w->probe.instance,
						   w->probe.upstream_id};

	return inventory_has_start(&c->objects.inventory, &key);
}

/* If several upstreams can't be asked at a time, the links are the likely
 * cause, or a failure domain, and no request. */
static int count_waiting(struct control *c)
{
	GHashTableIter it;
	void *value;
	int n = 0;

	g_hash_table_iter_init(&it, c->crashes.watches);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += ((struct crash_watch *)value)->state == WATCH_WAITING;
	return n;
}

void crashes_tick(struct control *c, int64_t now)
{
	int may_tell = count_waiting(c) == 1;
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->crashes.watches);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct crash_watch *w = value;

		if (w->state == WATCH_CLOSED && now >= w->next_probe_ms)
			start_probe(w, now);
		if (w->state == WATCH_WAITING && !has_entry(c, w))
			end_watch(w, may_tell ? WATCH_ENDED : WATCH_LIVE,
				  "its entry is gone");
		if (now < w->forget_at_ms || w->probe.in_flight)
			continue;
		if (w->suspects->len)
			end_watch(w, WATCH_LIVE, "its entry stays");
		g_hash_table_iter_remove(&it);
	}
}
