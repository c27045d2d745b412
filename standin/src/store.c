/* Stand-in for the platform's object store: paged lists, conditional updates
 * and watches over HTTP, with outages, delays, lost responses, compaction and
 * the return from an earlier copy on demand. */
#include "answer.h"
#include "objects.h"
#include "raw_values.h"
#include "store_request.h"
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

static struct {
	struct loop loop;
	struct serve serve;
	GHashTable *objects;
	int64_t revision;
	/** Rises each time that the store returns from a copy. */
	int64_t era;
	/** Copy of the objects, and the revision at which it was made. */
	GHashTable *copy;
	int64_t copy_revision;
	/** Watches from a revision before this one get 410 Gone. */
	int64_t compacted_revision;
	struct request *watchers;
	/** Time (prl_now_ms) until which connections are closed without a
	 * response. */
	int64_t down_until_ms;
	/** Time until which requests get 503. */
	int64_t busy_until_ms;
	int64_t response_delay_ms;
	/** Number of write responses to drop. */
	int64_t lose_write_responses;
	int64_t vm_put_delay_ms;
	uint64_t reads;
	uint64_t writes;
	uint64_t watch_requests;
	uint64_t conflicts;
	int64_t requests_per_s_max;
	int64_t current_s;
	int64_t requests_this_s;
} server;

static void count_request(void)
{
	int64_t second = prl_now_ms() / 1000;

	if (second != server.current_s) {
		server.current_s = second;
		server.requests_this_s = 0;
	}
	if (++server.requests_this_s > server.requests_per_s_max)
		server.requests_per_s_max = server.requests_this_s;
}

/* Responds to a call of the API. */
static enum MHD_Result send_result(struct MHD_Connection *conn,
				   unsigned int status, const char *text)
{
	char era[24];

	snprintf(era, sizeof(era), "%lld", (long long)server.era);
	return send_response_with_header(conn, status, text, strlen(text),
					 "Store-Era", era);
}

static enum MHD_Result send_json(struct MHD_Connection *conn,
				 unsigned int status, json_t *root)
{
	char *text = raw_values_insert(json_dumps(root, JSON_COMPACT));
	enum MHD_Result rc = send_result(conn, status, text);

	json_decref(root);
	free(text);
	return rc;
}

static enum MHD_Result send_list(struct request *r)
{
	const char *after = MHD_lookup_connection_value(
		r->conn, MHD_GET_ARGUMENT_KIND, "after");
	char *after_name = g_strdup(after ? after : "");
	json_t *root;

	MHD_http_unescape(after_name);
	root = objects_list(server.objects, r->kind, after_name,
			    server.revision);
	g_free(after_name);
	return send_json(r->conn, MHD_HTTP_OK, root);
}

static enum MHD_Result send_events(struct request *r)
{
	return send_json(r->conn, MHD_HTTP_OK,
			 objects_events(server.objects, r->kind,
					r->after_revision, server.revision));
}

static void resume_request(struct request *r)
{
	if (!r->suspended)
		return;
	r->suspended = 0;
	r->timer.deadline_ms = PRL_NEVER;
	serve_resume(&server.serve, r->conn);
}

static void suspend_request(struct request *r, int64_t until)
{
	r->suspended = 1;
	r->timer.deadline_ms = until;
	MHD_suspend_connection(r->conn);
}

static void wake_watchers(const char *key)
{
	struct request **p = &server.watchers;

	while (*p) {
		struct request *r = *p;

		if (key && !object_key_has_kind(key, r->kind)) {
			p = &r->next;
			continue;
		}
		*p = r->next;
		resume_request(r);
	}
}

/* Stores an object and wakes its watchers. Takes ownership of the value; NULL
 * leaves a tombstone. */
static const struct object *put_object(const char *key, json_t *value)
{
	struct object *o = g_new0(struct object, 1);

	o->key = g_strdup(key);
	o->version = ++server.revision;
	o->value = value;
	g_hash_table_replace(server.objects, o->key, o);
	wake_watchers(key);
	return o;
}

/* Change of the VM list that becomes visible only after a delay. */
struct delayed_put {
	struct loop_timer timer;
	char *key;
	json_t *value;
};

static void on_delay_over(struct loop_timer *t, int64_t now)
{
	struct delayed_put *put = t->ctx;

	(void)now;
	put_object(put->key, put->value);
	loop_timer_remove(&server.loop, t);
	g_free(put->key);
	g_free(put);
}

static void put_object_delayed(const char *key, json_t *value)
{
	struct delayed_put *put = g_new0(struct delayed_put, 1);

	put->key = g_strdup(key);
	put->value = value;
	put->timer.on_expiry = on_delay_over;
	put->timer.ctx = put;
	loop_timer_add(&server.loop, &put->timer);
	put->timer.deadline_ms = prl_now_ms() + server.vm_put_delay_ms;
}

static void reject_write(struct request *r, unsigned int status,
			 const struct object *o)
{
	json_t *root = o && o->value ? object_to_json(o) : json_object();

	r->status = status;
	r->result_json = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	server.conflicts += status == MHD_HTTP_CONFLICT;
}

static void accept_write(struct request *r, const struct object *o)
{
	json_t *root = object_to_json(o);

	r->status = MHD_HTTP_OK;
	r->result_json = json_dumps(root, JSON_COMPACT);
	json_decref(root);
}

static void apply_delete(struct request *r)
{
	const struct object *o = g_hash_table_lookup(server.objects, r->key);
	int64_t want = query_argument_int(r->conn, "revision", 0);

	if (!o || !o->value)
		reject_write(r, MHD_HTTP_NOT_FOUND, NULL);
	else if (want && want != o->version)
		reject_write(r, MHD_HTTP_CONFLICT, o);
	else
		accept_write(r, put_object(r->key, NULL));
}

static void apply_put(struct request *r, json_t *body)
{
	json_t *meta = json_object_get(body, "metadata");
	const char *name = json_string_value(json_object_get(meta, "name"));
	int64_t want = json_integer_value(json_object_get(meta, "revision"));
	int create = !strcmp(r->method, "POST");
	const struct object *o;

	if (!name) {
		reject_write(r, MHD_HTTP_BAD_REQUEST, NULL);
		return;
	}
	g_snprintf(r->key, sizeof(r->key), "%s/%s", r->kind, name);
	o = g_hash_table_lookup(server.objects, r->key);
	if (!create && (!o || !o->value))
		reject_write(r, MHD_HTTP_NOT_FOUND, NULL);
	else if (o && o->value && (create || (want && want != o->version)))
		reject_write(r, MHD_HTTP_CONFLICT, o);
	else
		accept_write(
			r, put_object(r->key, json_incref(json_object_get(
						      body, "specification"))));
}

/* Called once per write, before the response is delayed or lost. */
static void apply_write(struct request *r)
{
	json_t *body;

	r->applied = 1;
	server.writes++;
	if (!strcmp(r->method, "DELETE")) {
		apply_delete(r);
		return;
	}
	body = json_loadb(r->body->str, r->body->len, 0, NULL);
	apply_put(r, body);
	json_decref(body);
}

static enum MHD_Result send_write_result(struct request *r)
{
	if (server.lose_write_responses > 0) {
		server.lose_write_responses--;
		return MHD_NO;
	}
	return send_result(r->conn, r->status, r->result_json);
}

static enum MHD_Result send_object(struct request *r)
{
	const struct object *o = g_hash_table_lookup(server.objects, r->key);

	if (!o || !o->value)
		return send_result(r->conn, MHD_HTTP_NOT_FOUND, "");
	return send_json(r->conn, MHD_HTTP_OK, object_to_json(o));
}

static enum MHD_Result handle_watch(struct request *r)
{
	if (r->after_revision < server.compacted_revision ||
	    r->after_revision > server.revision)
		return send_result(r->conn, MHD_HTTP_GONE, "{}");
	if (r->waited)
		return send_events(r);
	r->waited = 1;
	server.watch_requests++;
	if (objects_count_changes(server.objects, r->kind, r->after_revision))
		return send_events(r);
	r->next = server.watchers;
	server.watchers = r;
	suspend_request(
		r, prl_now_ms() + query_argument_int(r->conn, "wait_ms", 1000));
	return MHD_YES;
}

/* Drops the history: clients of earlier watches have to list again. */
static void compact_history(void)
{
	objects_drop_removed(server.objects);
	server.compacted_revision = ++server.revision;
	wake_watchers(NULL);
}

static void make_copy(void)
{
	if (server.copy)
		g_hash_table_destroy(server.copy);
	server.copy = objects_copy(server.objects);
	server.copy_revision = server.revision;
}

/* Loses what was written since the copy. Revisions go on from the copy's. */
static void return_from_copy(void)
{
	g_hash_table_destroy(server.objects);
	server.objects = objects_copy(server.copy);
	server.revision = server.copy_revision;
	server.era++;
	wake_watchers(NULL);
}

/* Writes an object as the platform does, without a condition. Changes of VM
 * entries are delayed. */
static void handle_admin_put(const struct request *r)
{
	const char *key = r->path + strlen("/admin/objects/");
	json_t *value = raw_value_new(r->body->str, r->body->len,
				      query_argument_int(r->conn, "raw", 0));

	if (server.vm_put_delay_ms && g_str_has_prefix(key, STORE_PREFIX_VM))
		put_object_delayed(key, value);
	else
		put_object(key, value);
}

static enum MHD_Result handle_admin(struct request *r)
{
	char text[320];

	if (!strcmp(r->path, "/admin/faults")) {
		server.down_until_ms =
			prl_now_ms() +
			query_argument_int(r->conn, "down_ms", 0);
		server.busy_until_ms =
			prl_now_ms() +
			query_argument_int(r->conn, "busy_ms", 0);
		server.response_delay_ms = query_argument_int(
			r->conn, "slow_ms", server.response_delay_ms);
		server.lose_write_responses = query_argument_int(
			r->conn, "lose", server.lose_write_responses);
		server.vm_put_delay_ms = query_argument_int(
			r->conn, "vm_lag_ms", server.vm_put_delay_ms);
		/* An outage cuts the waiting watches. */
		if (server.down_until_ms > prl_now_ms())
			wake_watchers(NULL);
		if (query_argument_int(r->conn, "compact", 0))
			compact_history();
		if (query_argument_int(r->conn, "copy", 0))
			make_copy();
		if (query_argument_int(r->conn, "return", 0) && server.copy)
			return_from_copy();
	}
	if (g_str_has_prefix(r->path, "/admin/objects/"))
		handle_admin_put(r);
	snprintf(text, sizeof(text),
		 "{\"reads\":%llu,\"writes\":%llu,\"watches\":%llu,"
		 "\"conflicts\":%llu,\"busiest_second\":%lld,"
		 "\"revision\":%lld}\n",
		 (unsigned long long)server.reads,
		 (unsigned long long)server.writes,
		 (unsigned long long)server.watch_requests,
		 (unsigned long long)server.conflicts,
		 (long long)server.requests_per_s_max,
		 (long long)server.revision);
	return send_response(r->conn, MHD_HTTP_OK, text, strlen(text));
}

static enum MHD_Result handle_api_request(struct request *r)
{
	if (store_request_is_write(r))
		return send_write_result(r);
	if (query_argument_int(r->conn, "watch", -1) >= 0)
		return handle_watch(r);
	server.reads++;
	if (r->key[0])
		return send_object(r);
	return send_list(r);
}

static enum MHD_Result handle_complete_request(struct request *r)
{
	if (g_str_has_prefix(r->path, "/admin/"))
		return handle_admin(r);
	if (prl_now_ms() < server.down_until_ms)
		return MHD_NO;
	if (prl_now_ms() < server.busy_until_ms)
		return send_result(r->conn, MHD_HTTP_SERVICE_UNAVAILABLE, "");
	if (!r->applied && store_request_parse_path(r))
		return send_result(r->conn, MHD_HTTP_NOT_FOUND, "");
	r->after_revision = query_argument_int(r->conn, "watch", 0);
	if (!r->waited)
		count_request();
	if (store_request_is_write(r) && !r->applied)
		apply_write(r);
	if (server.response_delay_ms && !r->waited) {
		r->waited = query_argument_int(r->conn, "watch", -1) < 0;
		if (r->waited) {
			suspend_request(r, prl_now_ms() +
						   server.response_delay_ms);
			return MHD_YES;
		}
	}
	return handle_api_request(r);
}

static void remove_watcher(const struct request *r)
{
	struct request **p = &server.watchers;

	while (*p && *p != r)
		p = &(*p)->next;
	if (*p)
		*p = r->next;
}

static void on_timer(struct loop_timer *t, int64_t now)
{
	struct request *r = t->ctx;

	(void)now;
	remove_watcher(r);
	resume_request(r);
}

static enum MHD_Result handle_request(void *ctx, struct MHD_Connection *conn,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *len, void **state)
{
	struct request *r = *state;

	(void)ctx;
	(void)version;
	if (!r) {
		r = store_request_new(conn, url, method);
		r->timer.on_expiry = on_timer;
		loop_timer_add(&server.loop, &r->timer);
		*state = r;
		return MHD_YES;
	}
	if (*len) {
		if (r->body->len + *len > 2 * STORE_VALUE_MAX)
			return MHD_NO;
		g_string_append_len(r->body, data, (gssize)*len);
		*len = 0;
		return MHD_YES;
	}
	return handle_complete_request(r);
}

static void request_completed(void *ctx, struct MHD_Connection *conn,
			      void **state, enum MHD_RequestTerminationCode why)
{
	struct request *r = *state;

	(void)ctx;
	(void)conn;
	(void)why;
	if (!r)
		return;
	remove_watcher(r);
	loop_timer_remove(&server.loop, &r->timer);
	store_request_free(r);
	*state = NULL;
}

int main(int argc, char **argv)
{
	struct serve_options o = {
		.address =
			command_option(argc, argv, "listen", "127.0.0.1:7000"),
		.connections_max = 4096,
		.idle_timeout_s = 0,
		.connection_memory_bytes = 16384,
		.handle = handle_request,
		.completed = request_completed,
	};
	struct prl_error err;

	apr_initialize();
	signal(SIGPIPE, SIG_IGN);
	server.objects = objects_new();
	server.era = 1;
	server.vm_put_delay_ms =
		strtoll(command_option(argc, argv, "vm-lag", "0"), NULL, 10);
	if (loop_init(&server.loop, &err) ||
	    serve_init(&server.serve, &server.loop, &o, &err)) {
		fprintf(stderr, "standin-store: %s\n", err.text);
		return 1;
	}
	loop_run(&server.loop);
	return 0;
}
