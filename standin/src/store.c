/* Stand-in for the platform's object store: versions, conditional updates
 * and watches over HTTP, with outages, slowness and lost answers on demand. */
#include "answer.h"
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

struct object {
	char *key;
	int64_t version;
	char *value;
	size_t len;
};

/* A request, from its first line until its answer is sent. */
struct request {
	struct MHD_Connection *conn;
	char method[8];
	char path[STORE_KEY_MAX + 32];
	GString *body;
	struct loop_timer timer;
	int suspended;
	int ready;
	/* A write takes effect once, before its answer is delayed or lost. */
	int applied;
	int64_t result;
	unsigned int status;
	char prefix[STORE_KEY_MAX];
	int64_t after;
	struct request *next;
};

static struct {
	struct loop loop;
	struct serve serve;
	GHashTable *objects;
	int64_t revision;
	struct request *watches;
	int64_t down_until;
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

static void object_free(void *p)
{
	struct object *o = p;

	g_free(o->key);
	g_free(o->value);
	g_free(o);
}

static int by_version(const void *a, const void *b)
{
	const struct object *x = *(struct object *const *)a;
	const struct object *y = *(struct object *const *)b;

	return x->version < y->version ? -1 : x->version > y->version;
}

static GPtrArray *collect(const char *prefix, int64_t after)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, st.objects);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct object *o = value;

		if (o->version > after && g_str_has_prefix(o->key, prefix))
			g_ptr_array_add(found, o);
	}
	g_ptr_array_sort(found, by_version);
	return found;
}

static enum MHD_Result answer_list(struct MHD_Connection *conn,
				   const char *prefix, int64_t after)
{
	GPtrArray *found = collect(prefix, after);
	json_t *objects = json_array();
	enum MHD_Result rc;
	json_t *root;
	char *text;

	for (guint i = 0; i < found->len; i++) {
		const struct object *o = g_ptr_array_index(found, i);

		json_array_append_new(
			objects, json_pack("{s:s, s:I, s:s%}", "key", o->key,
					   "version", (json_int_t)o->version,
					   "value", o->value, o->len));
	}
	g_ptr_array_free(found, TRUE);
	root = json_pack("{s:I, s:o}", "revision", (json_int_t)st.revision,
			 "objects", objects);
	text = json_dumps(root, JSON_COMPACT);
	rc = answer_bytes(conn, MHD_HTTP_OK, text, strlen(text));
	json_decref(root);
	free(text);
	return rc;
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

		if (!g_str_has_prefix(key, r->prefix)) {
			p = &r->next;
			continue;
		}
		*p = r->next;
		resume(r);
	}
}

static int64_t put_now(const char *key, const char *value, size_t len)
{
	struct object *o = g_new0(struct object, 1);

	o->key = g_strdup(key);
	o->version = ++st.revision;
	o->value = g_memdup2(value, len + 1);
	o->len = len;
	g_hash_table_replace(st.objects, o->key, o);
	wake_watches(key);
	return o->version;
}

/* A change of the VM list that shows only after its lag. */
struct late_put {
	struct loop_timer timer;
	char *key;
	char *value;
	size_t len;
};

static void late_due(struct loop_timer *t, int64_t now)
{
	struct late_put *late = t->ctx;

	(void)now;
	put_now(late->key, late->value, late->len);
	loop_timer_remove(&st.loop, t);
	g_free(late->key);
	g_free(late->value);
	g_free(late);
}

static void put_late(const char *key, const char *value, size_t len)
{
	struct late_put *late = g_new0(struct late_put, 1);

	late->key = g_strdup(key);
	late->value = g_memdup2(value, len + 1);
	late->len = len;
	late->timer.due = late_due;
	late->timer.ctx = late;
	loop_timer_add(&st.loop, &late->timer);
	late->timer.deadline = prl_now_ms() + st.vm_lag_ms;
}

static void apply_put(struct request *r)
{
	const char *key = r->path + strlen("/v1/objects/");
	const struct object *o = g_hash_table_lookup(st.objects, key);
	const char *want = MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND,
						       "If-Version");
	int64_t have = o && o->len ? o->version : 0;

	r->applied = 1;
	st.writes++;
	/* A removed object counts as absent, or as its last version. */
	if (want && strtoll(want, NULL, 10) != have &&
	    !(o && strtoll(want, NULL, 10) == o->version)) {
		st.conflicts++;
		r->status = MHD_HTTP_CONFLICT;
		r->result = o ? o->version : 0;
		return;
	}
	r->status = MHD_HTTP_OK;
	if (st.vm_lag_ms && g_str_has_prefix(key, STORE_PREFIX_VM)) {
		put_late(key, r->body->str, r->body->len);
		r->result = st.revision;
		return;
	}
	r->result = put_now(key, r->body->str, r->body->len);
}

static enum MHD_Result finish_put(struct request *r)
{
	char version[32];

	if (st.lose > 0) {
		st.lose--;
		return MHD_NO;
	}
	snprintf(version, sizeof(version), "%lld", (long long)r->result);
	return answer_header(r->conn, r->status, "", 0, "Version", version);
}

static enum MHD_Result answer_get(struct request *r)
{
	const char *key = r->path + strlen("/v1/objects/");
	const struct object *o = g_hash_table_lookup(st.objects, key);
	char version[32];

	if (!o)
		return answer_bytes(r->conn, MHD_HTTP_NOT_FOUND, "", 0);
	snprintf(version, sizeof(version), "%lld", (long long)o->version);
	return answer_header(r->conn, MHD_HTTP_OK, o->value, o->len, "Version",
			     version);
}

static void read_prefix(struct request *r)
{
	const char *prefix = MHD_lookup_connection_value(
		r->conn, MHD_GET_ARGUMENT_KIND, "prefix");

	snprintf(r->prefix, sizeof(r->prefix), "%s", prefix ? prefix : "");
	r->after = query_int(r->conn, "after", 0);
}

static enum MHD_Result handle_watch(struct request *r)
{
	GPtrArray *found;
	guint n;

	if (r->ready)
		return answer_list(r->conn, r->prefix, r->after);
	read_prefix(r);
	r->ready = 1;
	st.waits++;
	found = collect(r->prefix, r->after);
	n = found->len;
	g_ptr_array_free(found, TRUE);
	if (n)
		return answer_list(r->conn, r->prefix, r->after);
	r->next = st.watches;
	st.watches = r;
	suspend(r, prl_now_ms() + query_int(r->conn, "wait", 1000));
	return MHD_YES;
}

static enum MHD_Result handle_admin(struct request *r)
{
	char text[320];

	if (!strcmp(r->path, "/admin/faults")) {
		st.down_until = prl_now_ms() + query_int(r->conn, "down_ms", 0);
		st.slow_ms = query_int(r->conn, "slow_ms", st.slow_ms);
		st.lose = query_int(r->conn, "lose", st.lose);
		st.vm_lag_ms = query_int(r->conn, "vm_lag_ms", st.vm_lag_ms);
	}
	snprintf(text, sizeof(text),
		 "{\"reads\":%llu,\"writes\":%llu,\"watches\":%llu,"
		 "\"conflicts\":%llu,\"busiest_second\":%lld,"
		 "\"revision\":%lld}\n",
		 (unsigned long long)st.reads, (unsigned long long)st.writes,
		 (unsigned long long)st.waits, (unsigned long long)st.conflicts,
		 (long long)st.busiest, (long long)st.revision);
	return answer_bytes(r->conn, MHD_HTTP_OK, text, strlen(text));
}

static enum MHD_Result handle_call(struct request *r)
{
	if (!strcmp(r->method, "PUT"))
		return finish_put(r);
	if (g_str_has_prefix(r->path, "/v1/objects/")) {
		st.reads++;
		return answer_get(r);
	}
	if (!strcmp(r->path, "/v1/list")) {
		st.reads++;
		read_prefix(r);
		return answer_list(r->conn, r->prefix, r->after);
	}
	if (!strcmp(r->path, "/v1/watch"))
		return handle_watch(r);
	return answer_bytes(r->conn, MHD_HTTP_NOT_FOUND, "", 0);
}

static enum MHD_Result handle_whole(struct request *r)
{
	if (g_str_has_prefix(r->path, "/admin/"))
		return handle_admin(r);
	if (prl_now_ms() < st.down_until)
		return MHD_NO;
	if (!r->ready)
		count_call();
	if (!strcmp(r->method, "PUT") && !r->applied)
		apply_put(r);
	if (st.slow_ms && !r->ready) {
		r->ready = strcmp(r->path, "/v1/watch") != 0;
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
		if (r->body->len + *len > STORE_VALUE_MAX)
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
	st.objects = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   object_free);
	st.vm_lag_ms = strtoll(option(argc, argv, "vm-lag", "0"), NULL, 10);
	if (loop_init(&st.loop, &err) ||
	    serve_init(&st.serve, &st.loop, &o, &err)) {
		fprintf(stderr, "store stand-in: %s\n", err.text);
		return 1;
	}
	loop_run(&st.loop);
	return 0;
}
