#include "sync.h"
#include "control.h"
#include "tree.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/log.h>
#include <stdio.h>
#include <string.h>

/* Timeout of a watch, in milliseconds. */
#define WATCH_TIMEOUT_MS 20000

/*
 * Delay after the start before the store is asked, in ms, if there are seeds:
 * another VM is likely to supply the replica first. A random part of up to the
 * same length is added.
 */
#define PEER_DELAY_MS 300

/* Most bytes of keys and values in one message. */
#define DELTA_BYTES_MAX 48000

/* Timeout of a pull, in ms. */
#define PULL_TIMEOUT_MS 1000

static uint64_t watch_topic(void)
{
	return prl_hash_string("watch");
}

void sync_init(struct control *c)
{
	int64_t now = prl_now_ms();

	spread_init(&c->sync.replica);
	c->sync.list_after_ms = now;
	if (c->settings->nseed)
		c->sync.list_after_ms +=
			PEER_DELAY_MS +
			(int64_t)(control_random() % PEER_DELAY_MS);
}

int sync_is_watcher(const struct control *c)
{
	int rank[16];
	int n = member_rank(&c->members, c->settings->vm.domain, watch_topic(),
			    rank, (int)c->settings->control.watchers);

	for (int i = 0; i < n; i++)
		if (rank[i] == 0)
			return 1;
	return 0;
}

void sync_set_ready(struct control *c, const char *from)
{
	char revision[24];

	if (c->sync.ready)
		return;
	c->sync.ready = 1;
	c->view_outdated = 1;
	snprintf(revision, sizeof(revision), "%lld",
		 (long long)c->sync.replica.complete_revision);
	log_event(LOG_LEVEL_AUDIT, "ready", "from", from, "revision", revision,
		  NULL);
}

/* Whether a key belongs to the configuration that this VM replicates. */
static int is_followed(const struct control *c, const char *key)
{
	if (control_follows_manifest(c))
		return objects_has_kind(key);
	return g_str_has_prefix(key, STORE_PREFIX_CONFIG);
}

/* Returns 1 if the replica changed, else 0. */
static int install(struct control *c, const char *key, int64_t version,
		   const char *value, size_t len)
{
	if (!is_followed(c, key) ||
	    spread_install(&c->sync.replica, key, version, value, len))
		return 0;
	metrics_add(&c->proxy.control_metrics, METRIC_CONFIG_INSTALLED, 1);
	apply_object(c, key);
	return 1;
}

int sync_install_read(struct control *c, const char *key, int64_t version,
		      const char *value, size_t len)
{
	int changed;

	if (control_follows_manifest(c) && objects_is_oversized(key, len)) {
		value = OBJECTS_UNREADABLE_VALUE;
		len = strlen(value);
	}
	changed = install(c, key, version, value, len);

	if (changed && control_follows_manifest(c))
		readers_note_change(c, key);
	return changed;
}

/*
 * Relays a delta to this VM's children in the relay tree of its failure domain.
 * The tree's order is derived from the revision, so the load is spread. The VM
 * that read the change from the store (is_origin) also sends it to the root.
 */
static void relay(struct control *c, const struct wire_delta *d, int is_origin)
{
	struct wire_args args = {.proc = WIRE_PUSH, .u.push = *d};
	uint64_t topic = (uint64_t)d->complete;

	args.u.push.hops++;
	if (is_origin)
		tree_send_to_root(c, c->settings->vm.domain, topic, &args,
				  TREE_ACKNOWLEDGED);
	tree_send_to_children(c, topic, &args, TREE_ACKNOWLEDGED);
}

static void fill_object(struct wire_object *out,
			const struct spread_object *from)
{
	out->key = (char *)from->key;
	out->revision = from->version;
	out->value.value_val = from->value;
	out->value.value_len = (u_int)from->len;
}

guint sync_fill_objects(struct wire_object *object,
			const struct spread_object *const *from, guint n,
			guint *filled)
{
	size_t bytes = 0;
	guint i;

	*filled = 0;
	for (i = 0; i < n && *filled < WIRE_OBJECTS; i++) {
		if (from[i]->len > WIRE_VALUE)
			continue;
		bytes += from[i]->len + SPREAD_KEY_MAX;
		if (*filled && bytes > DELTA_BYTES_MAX)
			break;
		fill_object(&object[(*filled)++], from[i]);
	}
	return i;
}

/* Fills a delta with as many objects as fit one message. Returns how many of
 * those given are done with, the ones that fit no message included. */
static guint fill_delta(struct wire_delta *d, struct wire_object *object,
			const struct spread_object *const *from, guint n)
{
	d->object.object_val = object;
	return sync_fill_objects(object, from, n, &d->object.object_len);
}

/* Relays changes after a revision that were read from the store. */
static void relay_after(struct control *c, int64_t after)
{
	static struct wire_object object[WIRE_OBJECTS];
	GPtrArray *objects = spread_changed_since(&c->sync.replica, after);
	struct wire_delta d = {.after = after};
	const struct spread_object *const *from = (void *)objects->pdata;
	guint n = fill_delta(&d, object, from, objects->len);

	d.complete = c->sync.replica.complete_revision;
	if (n && n < objects->len)
		d.complete = from[n - 1]->version;
	if (d.object.object_len)
		relay(c, &d, 1);
	g_ptr_array_free(objects, TRUE);
}

static void set_store_state(struct control *c, int up)
{
	if (c->sync.store_up == up)
		return;
	c->sync.store_up = up;
	log_event(LOG_LEVEL_AUDIT, "store", "state", up ? "up" : "down", NULL);
}

int sync_remove_unlisted(struct control *c, const struct store_call *call)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *missing;
	int changed = 0;

	for (int i = 0; i < call->nobject; i++)
		g_hash_table_add(listed, call->object[i].key);
	missing = spread_missing_from_list(&c->sync.replica, call->key,
					   call->revision, listed);
	for (guint i = 0; i < missing->len; i++) {
		const struct spread_object *o = g_ptr_array_index(missing, i);

		changed += sync_install_read(c, o->key, call->revision, "", 0);
	}
	g_ptr_array_free(missing, TRUE);
	g_hash_table_destroy(listed);
	return changed;
}

static void install_answer(struct control *c, const struct store_call *call)
{
	int64_t after = c->sync.replica.complete_revision;
	int changed = 0;

	if (call->op == STORE_LIST) {
		changed += sync_remove_unlisted(c, call);
		c->sync.needs_list = 0;
	}

	for (int i = 0; i < call->nobject; i++) {
		const struct store_object *o = &call->object[i];

		changed += sync_install_read(c, o->key, o->version, o->value,
					     o->len);
	}
	spread_advance(&c->sync.replica,
		       call->op == STORE_LIST ? after : call->version,
		       call->revision);
	sync_set_ready(c, "store");
	if (changed && after)
		relay_after(c, after);
}

static void call_done(struct store_call *call)
{
	struct control *c = call->ctx;
	int64_t now = prl_now_ms();

	c->sync.calling = 0;
	if (call->err.code == PRL_E_STALE) {
		c->sync.needs_list = 1;
	} else if (call->err.code) {
		set_store_state(c, 0);
		backoff_schedule(&c->sync.store_backoff, now);
	} else {
		set_store_state(c, 1);
		backoff_reset(&c->sync.store_backoff);
		install_answer(c, call);
	}
	store_call_finish(call);
}

static void start_store_call(struct control *c, enum store_op op, int64_t now)
{
	struct store_call *call = &c->sync.call;

	memset(call, 0, sizeof(*call));
	call->op = op;
	strcpy(call->key, STORE_PREFIX_CONFIG);
	call->deadline_ms = now + c->settings->store.timeout;
	if (op == STORE_WATCH) {
		call->version = c->sync.replica.complete_revision;
		call->deadline_ms = now + WATCH_TIMEOUT_MS;
	}
	call->done = call_done;
	call->ctx = c;
	if (store_call_start(&c->store, call, NULL))
		backoff_schedule(&c->sync.store_backoff, now);
	else
		c->sync.calling = 1;
}

void sync_tick(struct control *c, int64_t now)
{
	struct sync *s = &c->sync;

	if (s->calling || now < s->store_backoff.retry_ms)
		return;
	if (s->needs_list || (!s->ready && now >= s->list_after_ms))
		start_store_call(c, STORE_LIST, now);
	else if (s->ready && c->sync.is_watcher)
		start_store_call(c, STORE_WATCH, now);
}

struct pull_call {
	struct control *control;
	char from[PRL_ADDRESS_MAX];
};

static void start_pull(struct control *c, const char *from);

static void set_complete(struct control *c)
{
	if (control_follows_manifest(c))
		source_set_complete(c);
	else
		sync_set_ready(c, "peer");
}

int sync_install_objects(struct control *c, const struct wire_object *object,
			 u_int n)
{
	int changed = 0;

	for (u_int i = 0; i < n; i++) {
		const struct wire_object *o = &object[i];

		changed += install(c, o->key, o->revision, o->value.value_val,
				   o->value.value_len);
	}
	return changed;
}

static void pull_done(void *ctx, const struct wire_result *result)
{
	struct pull_call *p = ctx;
	struct control *c = p->control;
	int64_t before = c->sync.replica.complete_revision;
	const struct wire_delta *d;

	c->sync.pulling = 0;
	if (result) {
		d = &result->u.delta;
		sync_install_objects(c, d->object.object_val,
				     d->object.object_len);
		spread_advance(&c->sync.replica, d->after, d->complete);
		if (!d->hops)
			set_complete(c);
		/*
		 * A long answer comes in parts; "hops" is the number of objects
		 * left.
		 */
		else if (c->sync.replica.complete_revision > before)
			start_pull(c, p->from);
	}
	g_free(p);
}

static void start_pull(struct control *c, const char *from)
{
	struct wire_args args = {.proc = WIRE_PULL};
	struct pull_call *p = g_new0(struct pull_call, 1);
	int64_t now = prl_now_ms();
	struct wire_call_options o = {
		.deadline_ms = now + PULL_TIMEOUT_MS,
		.retransmit_ms = PULL_TIMEOUT_MS / 3,
		.done = pull_done,
		.discard = g_free,
		.ctx = p,
	};

	p->control = c;
	snprintf(p->from, sizeof(p->from), "%s", from);
	args.u.pull.after = c->sync.replica.complete_revision;
	if (wire_call(&c->wire, from, &args, &o, NULL)) {
		g_free(p);
		return;
	}
	c->sync.pulling = 1;
	metrics_add(&c->proxy.control_metrics, METRIC_CONFIG_PULLS, 1);
}

/*
 * Whether another VM's replica may be newer. With the manifest as source, each
 * kind of object has its own watch, and the complete revision advances only
 * when all have returned, so digests are compared as well. A VM with a fresh
 * replica need not pull: it reads the same changes from the store itself.
 */
static int is_ahead(const struct control *c, const struct wire_digest *d)
{
	const struct spread_replica *replica = &c->sync.replica;

	if (!control_follows_manifest(c))
		return d->complete > replica->complete_revision;
	return source_is_stale(c, prl_now_ms()) && d->complete &&
	       (d->complete > replica->complete_revision ||
		d->sum != replica->digest);
}

void sync_pull_from(struct control *c, const char *address)
{
	if (!c->sync.pulling)
		start_pull(c, address);
}

void sync_handle_digest(struct control *c, const struct wire_digest *d,
			const char *from)
{
	if (!c->sync.pulling && is_ahead(c, d))
		start_pull(c, from);
}

void sync_handle_push(struct control *c, const struct wire_delta *d,
		      const char *from)
{
	int changed = sync_install_objects(c, d->object.object_val,
					   d->object.object_len);

	if (spread_advance(&c->sync.replica, d->after, d->complete) &&
	    !c->sync.pulling)
		start_pull(c, from);
	if (changed)
		relay(c, d, 0);
}

void sync_handle_pull(struct control *c, const struct wire_request *r,
		      const struct wire_pull *p)
{
	static struct wire_object object[WIRE_OBJECTS];
	struct wire_result result = {.proc = WIRE_PULL};
	struct wire_delta *d = &result.u.delta;
	const struct spread_object *const *from;
	GPtrArray *objects;
	guint n;

	if (!c->sync.ready)
		return;
	objects = spread_changed_since(&c->sync.replica, p->after);
	from = (void *)objects->pdata;
	d->after = p->after;
	n = fill_delta(d, object, from, objects->len);
	d->hops = objects->len - d->object.object_len;
	d->complete = c->sync.replica.complete_revision;
	if (n && n < objects->len)
		d->complete = from[n - 1]->version;
	wire_reply(&c->wire, r, &result, NULL);
	g_ptr_array_free(objects, TRUE);
}

void sync_finish(struct control *c)
{
	if (c->sync.calling)
		store_call_cancel(&c->sync.call);
	spread_finish(&c->sync.replica);
}
