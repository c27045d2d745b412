/* Stand-in for the platform's object store: kinds of objects in pages,
 * conditional updates and watches over HTTP, with outages, slowness, lost
 * answers and lost history on demand. */
#include "answer.h"
#include "objects.h"
#include <apr_general.h>
#include <glib.h>
#include <jansson.h>
#include <primroselead/clock.h>
#include <primroselead/serve.h>
#include <primroselead/store.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OBJECTS "/api/objects/"

/* A request, from its first line until its answer is sent. */
struct request {
	struct MHD_Connection *conn;
	char method[8];
	char path[STORE_KEY_MAX * 3 + 32];
	/** Kind and name that the path names; the name may be empty. */
	char kind[STORE_KEY_MAX];
	char key[STORE_KEY_MAX * 3];
	GString *body;
	struct loop_timer timer;
	int suspended;
	int ready;
	/* A write takes effect once, before its answer is delayed or lost. */
	int applied;
	unsigned int status;
	char *result;
	int64_t after;
	struct request *next;
};

static struct {
	struct loop loop;
	struct serve serve;
	GHashTable *objects;
	int64_t revision;
	/** Changes up to this revision are forgotten. */
	int64_t compacted;
	struct request *watches;
	int64_t down_until;
	int64_t busy_until;
	int64_t slow_ms;
	int64_t lose;
	int64_t vm_lag_ms;
	uint64_t reads;
	uint64_t writes;
	uint64_t waits;
	uint64_t conflicts;
	int64_t busiest;
	int64_t second;
	int64_t in_second;
} st;

static void count_call(void)
{
	int64_t second = prl_now_ms() / 1000;

	if (second != st.second) {
		st.second = second;
		st.in_second = 0;
	}
	if (++st.in_second > st.busiest)
		st.busiest = st.in_second;
}

static enum MHD_Result answer_json(struct MHD_Connection *conn,
				   unsigned int status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	enum MHD_Result rc = answer_bytes(conn, status, text, strlen(text));

	json_decref(root);
	free(text);
	return rc;
}

static enum MHD_Result answer_list(struct request *r)
{
	const char *after = MHD_lookup_connection_value(
		r->conn, MHD_GET_ARGUMENT_KIND, "after");
	char *from = g_strdup(after ? after : "");
	json_t *root;

	MHD_http_unescape(from);
	root = objects_list(st.objects, r->kind, from, st.revision);
	g_free(from);
	return answer_json(r->conn, MHD_HTTP_OK, root);
}

static enum MHD_Result answer_events(struct request *r)
{
	return answer_json(
		r->conn, MHD_HTTP_OK,
		objects_events(st.objects, r->kind, r->after, st.revision));
}

static void resume(struct request *r)
{
	if (!r->suspended)
		return;
	r->suspended = 0;
	r->timer.deadline = PRL_NEVER;
	serve_resume(&st.serve, r->conn);
}

static void suspend(struct request *r, int64_t until)
{
	r->suspended = 1;
	r->timer.deadline = until;
	MHD_suspend_connection(r->conn);
}

static void wake_watches(const char *key)
{
	struct request **p = &st.watches;

	while (*p) {
		struct request *r = *p;

		if (key && !objects_is_kind(key, r->kind)) {
			p = &r->next;
			continue;
		}
		*p = r->next;
		resume(r);
	}
}

/* Takes over the value; null removes the object. */
static const struct object *put_now(const char *key, json_t *value)
{
	struct object *o = g_new0(struct object, 1);

	o->key = g_strdup(key);
	o->version = ++st.revision;
	o->value = value;
	g_hash_table_replace(st.objects, o->key, o);
	wake_watches(key);
	return o;
}

/* A change of the VM list that shows only after its lag. */
struct late_put {
	struct loop_timer timer;
	char *key;
	json_t *value;
};

static void late_due(struct loop_timer *t, int64_t now)
{
	struct late_put *late = t->ctx;

	(void)now;
	put_now(late->key, late->value);
	loop_timer_remove(&st.loop, t);
	g_free(late->key);
	g_free(late);
}

static void put_late(const char *key, json_t *value)
{
	struct late_put *late = g_new0(struct late_put, 1);

	late->key = g_strdup(key);
	late->value = value;
	late->timer.due = late_due;
	late->timer.ctx = late;
	loop_timer_add(&st.loop, &late->timer);
	late->timer.deadline = prl_now_ms() + st.vm_lag_ms;
}

static void refuse_write(struct request *r, unsigned int status,
			 const struct object *o)
{
	json_t *root = o && o->value ? objects_json(o) : json_object();

	r->status = status;
	r->result = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	st.conflicts += status == MHD_HTTP_CONFLICT;
}

static void write_done(struct request *r, const struct object *o)
{
	json_t *root = objects_json(o);

	r->status = MHD_HTTP_OK;
	r->result = json_dumps(root, JSON_COMPACT);
	json_decref(root);
}

static void apply_removal(struct request *r)
{
	const struct object *o = g_hash_table_lookup(st.objects, r->key);
	int64_t want = query_int(r->conn, "revision", 0);

	if (!o || !o->value)
		refuse_write(r, MHD_HTTP_NOT_FOUND, NULL);
	else if (want && want != o->version)
		refuse_write(r, MHD_HTTP_CONFLICT, o);
	else
		write_done(r, put_now(r->key, NULL));
}

static void apply_body(struct request *r, json_t *body)
{
	json_t *meta = json_object_get(body, "metadata");
	const char *name = json_string_value(json_object_get(meta, "name"));
	int64_t want = json_integer_value(json_object_get(meta, "revision"));
	int create = !strcmp(r->method, "POST");
	const struct object *o;

	if (!name) {
		refuse_write(r, MHD_HTTP_BAD_REQUEST, NULL);
		return;
	}
	g_snprintf(r->key, sizeof(r->key), "%s/%s", r->kind, name);
	o = g_hash_table_lookup(st.objects, r->key);
	if (!create && (!o || !o->value))
		refuse_write(r, MHD_HTTP_NOT_FOUND, NULL);
	else if (o && o->value && (create || (want && want != o->version)))
		refuse_write(r, MHD_HTTP_CONFLICT, o);
	else
		write_done(r, put_now(r->key, json_incref(json_object_get(
						      body, "specification"))));
}

/* A write takes effect once, before its answer is delayed or lost. */
static void apply_write(struct request *r)
{
	json_t *body;

	r->applied = 1;
	st.writes++;
	if (!strcmp(r->method, "DELETE")) {
		apply_removal(r);
		return;
	}
	body = json_loadb(r->body->str, r->body->len, 0, NULL);
	apply_body(r, body);
	json_decref(body);
}

static enum MHD_Result finish_write(struct request *r)
{
	if (st.lose > 0) {
		st.lose--;
		return MHD_NO;
	}
	return answer_bytes(r->conn, r->status, r->result, strlen(r->result));
}

static enum MHD_Result answer_get(struct request *r)
{
	const struct object *o = g_hash_table_lookup(st.objects, r->key);

	if (!o || !o->value)
		return answer_bytes(r->conn, MHD_HTTP_NOT_FOUND, "", 0);
	return answer_json(r->conn, MHD_HTTP_OK, objects_json(o));
}

static enum MHD_Result handle_watch(struct request *r)
{
	if (r->after < st.compacted)
		return answer_bytes(r->conn, MHD_HTTP_GONE, "{}", 2);
	if (r->ready)
		return answer_events(r);
	r->ready = 1;
	st.waits++;
	if (objects_changed(st.objects, r->kind, r->after))
		return answer_events(r);
	r->next = st.watches;
	st.watches = r;
	suspend(r, prl_now_ms() + query_int(r->conn, "wait_ms", 1000));
	return MHD_YES;
}

/* Forgets the history: watches from before must list again. */
static void compact(void)
{
	objects_forget(st.objects);
	st.compacted = ++st.revision;
	wake_watches(NULL);
}

/* What the platform itself writes: a value at a key, after its lag. */
static void admin_put(const struct request *r)
{
	const char *key = r->path + strlen("/admin/objects/");
	json_t *value = NULL;

	if (r->body->len)
		value = json_loadb(r->body->str, r->body->len, 0, NULL);
	if (r->body->len && !value)
		value = json_stringn(r->body->str, r->body->len);
	if (st.vm_lag_ms && g_str_has_prefix(key, STORE_PREFIX_VM))
		put_late(key, value);
	else
		put_now(key, value);
}

static enum MHD_Result handle_admin(struct request *r)
{
	char text[320];

	if (!strcmp(r->path, "/admin/faults")) {
		st.down_until = prl_now_ms() + query_int(r->conn, "down_ms", 0);
		st.busy_until = prl_now_ms() + query_int(r->conn, "busy_ms", 0);
		st.slow_ms = query_int(r->conn, "slow_ms", st.slow_ms);
		st.lose = query_int(r->conn, "lose", st.lose);
		st.vm_lag_ms = query_int(r->conn, "vm_lag_ms", st.vm_lag_ms);
		if (query_int(r->conn, "compact", 0))
			compact();
	}
	if (g_str_has_prefix(r->path, "/admin/objects/"))
		admin_put(r);
	snprintf(text, sizeof(text),
		 "{\"reads\":%llu,\"writes\":%llu,\"watches\":%llu,"
		 "\"conflicts\":%llu,\"busiest_second\":%lld,"
		 "\"revision\":%lld}\n",
		 (unsigned long long)st.reads, (unsigned long long)st.writes,
		 (unsigned long long)st.waits, (unsigned long long)st.conflicts,
		 (long long)st.busiest, (long long)st.revision);
	return answer_bytes(r->conn, MHD_HTTP_OK, text, strlen(text));
}

static int is_write(const struct request *r)
{
	return strcmp(r->method, "GET") != 0;
}

/* Reads the kind and the name out of the path. Returns 0, or -1. */
static int read_path(struct request *r)
{
	const char *kind = r->path + strlen(OBJECTS);
	const char *slash;
	char *name;

	if (!g_str_has_prefix(r->path, OBJECTS) ||
	    strlen(kind) >= STORE_KEY_MAX)
		return -1;
	slash = strchr(kind, '/');
	snprintf(r->kind, sizeof(r->kind), "%.*s", (int)strcspn(kind, "/"),
		 kind);
	r->key[0] = 0;
	if (!slash)
		return 0;
	name = g_strdup(slash + 1);
	MHD_http_unescape(name);
	g_snprintf(r->key, sizeof(r->key), "%s/%s", r->kind, name);
	g_free(name);
	return 0;
}

static enum MHD_Result handle_call(struct request *r)
{
	if (is_write(r))
		return finish_write(r);
	if (query_int(r->conn, "watch", -1) >= 0)
		return handle_watch(r);
	st.reads++;
	if (r->key[0])
		return answer_get(r);
	return answer_list(r);
}

static enum MHD_Result handle_whole(struct request *r)
{
	if (g_str_has_prefix(r->path, "/admin/"))
		return handle_admin(r);
	if (prl_now_ms() < st.down_until)
		return MHD_NO;
	if (prl_now_ms() < st.busy_until)
		return answer_bytes(r->conn, MHD_HTTP_SERVICE_UNAVAILABLE, "",
				    0);
	if (!r->applied && read_path(r))
		return answer_bytes(r->conn, MHD_HTTP_NOT_FOUND, "", 0);
	r->after = query_int(r->conn, "watch", 0);
	if (!r->ready)
		count_call();
	if (is_write(r) && !r->applied)
		apply_write(r);
	if (st.slow_ms && !r->ready) {
		r->ready = query_int(r->conn, "watch", -1) < 0;
		if (r->ready) {
			suspend(r, prl_now_ms() + st.slow_ms);
			return MHD_YES;
		}
	}
	return handle_call(r);
}

static void timer_due(struct loop_timer *t, int64_t now)
{
	struct request *r = t->ctx;
	struct request **p = &st.watches;

	(void)now;
	while (*p && *p != r)
		p = &(*p)->next;
	if (*p)
		*p = r->next;
	resume(r);
}

static struct request *begin(struct MHD_Connection *conn, const char *url,
			     const char *method)
{
	struct request *r = g_new0(struct request, 1);

	r->conn = conn;
	snprintf(r->method, sizeof(r->method), "%s", method);
	snprintf(r->path, sizeof(r->path), "%s", url);
	r->body = g_string_new("");
	r->timer.due = timer_due;
	r->timer.ctx = r;
	loop_timer_add(&st.loop, &r->timer);
	return r;
}

static enum MHD_Result handle(void *ctx, struct MHD_Connection *conn,
			      const char *url, const char *method,
			      const char *version, const char *data,
			      size_t *len, void **state)
{
	struct request *r = *state;

	(void)ctx;
	(void)version;
	if (!r) {
		*state = begin(conn, url, method);
		return MHD_YES;
	}
	if (*len) {
		if (r->body->len + *len > 2 * STORE_VALUE_MAX)
			return MHD_NO;
		g_string_append_len(r->body, data, (gssize)*len);
		*len = 0;
		return MHD_YES;
	}
	return handle_whole(r);
}

static void completed(void *ctx, struct MHD_Connection *conn, void **state,
		      enum MHD_RequestTerminationCode why)
{
	struct request *r = *state;
	struct request **p = &st.watches;

	(void)ctx;
	(void)conn;
	(void)why;
	if (!r)
		return;
	while (*p && *p != r)
		p = &(*p)->next;
	if (*p)
		*p = r->next;
	loop_timer_remove(&st.loop, &r->timer);
	g_string_free(r->body, TRUE);
	free(r->result);
	g_free(r);
	*state = NULL;
}

int main(int argc, char **argv)
{
	struct serve_options o = {
		.address = option(argc, argv, "listen", "127.0.0.1:7000"),
		.connections = 4096,
		.idle_s = 0,
		.connection_bytes = 16384,
		.handle = handle,
		.completed = completed,
	};
	struct prl_error err;

	apr_initialize();
	signal(SIGPIPE, SIG_IGN);
	st.objects = objects_new();
	st.vm_lag_ms = strtoll(option(argc, argv, "vm-lag", "0"), NULL, 10);
	if (loop_init(&st.loop, &err) ||
	    serve_init(&st.serve, &st.loop, &o, &err)) {
		fprintf(stderr, "store stand-in: %s\n", err.text);
		return 1;
	}
	loop_run(&st.loop);
	return 0;
}
