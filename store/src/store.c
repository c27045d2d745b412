#include "response.h"
#include <glib.h>
#include <primroselead/clock.h>
#include <primroselead/platform.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Maximum size in bytes of one response, its head included; a list may have
 * many objects. */
#define RESPONSE_MAX (8 << 20)

/* Time in ms without a TCP acknowledgement after which a connection is closed.
 */
static const int unacked_timeout_ms = 2500;

/* Longest time in ms that an answer is expected to be under way. */
#define ANSWER_MAX_MS 5000

#define HTTP_OK 200
#define HTTP_CREATED 201
#define HTTP_NO_CONTENT 204
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_GONE 410
#define HTTP_TOO_MANY 429
#define HTTP_SERVER_ERROR 500
#define HTTP_UNAVAILABLE 503

void store_init(struct store *s, struct fetch_pool *pool, const char *address)
{
	memset(s, 0, sizeof(*s));
	s->pool = pool;
	snprintf(s->address, sizeof(s->address), "%s", address);
}

void store_note_era(struct store *s, int64_t era)
{
	int64_t previous = s->era;

	if (era <= previous)
		return;
	s->era = era;
	if (s->on_era)
		s->on_era(s, previous);
}

/* Called when the connection is ready for the request. A request that libcurl
 * repeated by itself could take effect twice, so a second one is aborted. */
static int on_connected(void *ctx, char *ip, char *local, int port, int lport)
{
	struct store_call *c = ctx;

	(void)ip;
	(void)local;
	(void)port;
	(void)lport;
	if (c->op == STORE_PUT && c->issued)
		return CURL_PREREQFUNC_ABORT;
	c->issued = 1;
	return CURL_PREREQFUNC_OK;
}

/* Whether a status means that nothing was written. */
static int is_definite_rejection(int status)
{
	return status == HTTP_UNAVAILABLE ||
	       (status >= HTTP_BAD_REQUEST && status < HTTP_SERVER_ERROR);
}

static enum prl_code report_conflict(struct store_call *c)
{
	struct platform_page page;

	/* The response contains the current object, if it exists. */
	if (!platform_page_parse(c->answer.body, c->answer.body_len,
				 PLATFORM_RESPONSE_OBJECT, &page, NULL)) {
		c->revision = store_version(c->era, page.revision);
		platform_page_finish(&page);
	}
	return prl_error_set(&c->err, PRL_E_CONFLICT,
			     "store: object \"%s\" has version %lld, not %lld",
			     c->key, (long long)c->revision,
			     (long long)c->version);
}

static enum prl_code report_stale(struct store_call *c)
{
	return prl_error_set(
		&c->err, PRL_E_STALE,
		"store: the history of \"%s\" after revision %lld of era %lld "
		"is no longer available",
		c->key, (long long)store_version_revision(c->version),
		(long long)store_version_era(c->version));
}

/* Whether the store returned from a copy since what the call is based on: the
 * revision that a watch names is then that of another change, and the pages of
 * a list are of two states. */
static int has_returned(const struct store_call *c)
{
	switch (c->op) {
	case STORE_WATCH:
		return c->era != store_version_era(c->version);
	case STORE_LIST:
		return c->revision && c->era != store_version_era(c->revision);
	case STORE_GET:
	case STORE_PUT:
		break;
	}
	return 0;
}

static enum prl_code report_unavailable(struct store_call *c)
{
	return prl_error_set(
		&c->err, PRL_E_STORE_DOWN,
		"store: call for \"%s\" failed with HTTP status %d", c->key,
		c->answer.head.status);
}

static enum prl_code read_write_response(struct store_call *c, int status)
{
	/* The response to a removal may be empty. */
	if (status == HTTP_NO_CONTENT && !c->len)
		return PRL_OK;
	if (status == HTTP_OK || status == HTTP_CREATED)
		return store_parse_response(c);
	if (status == HTTP_CONFLICT || status == HTTP_NOT_FOUND)
		return report_conflict(c);
	if (is_definite_rejection(status))
		return report_unavailable(c);
	return prl_error_set(
		&c->err, PRL_E_UNSETTLED,
		"store: write of \"%s\" failed with HTTP status %d", c->key,
		status);
}

static enum prl_code read_response(struct store_call *c)
{
	int status = c->answer.head.status;

	if (c->op == STORE_PUT)
		return read_write_response(c, status);
	if (status == HTTP_GONE || (status == HTTP_OK && has_returned(c)))
		return report_stale(c);
	if (status == HTTP_OK)
		return store_parse_response(c);
	if (status == HTTP_NOT_FOUND)
		return prl_error_set(&c->err, PRL_E_NOT_FOUND,
				     "store: object \"%s\" does not exist",
				     c->key);
	return report_unavailable(c);
}

static void report_transfer_error(struct store_call *c, CURLcode result)
{
	int unsettled = c->op == STORE_PUT && c->issued;

	prl_error_set(&c->err, unsettled ? PRL_E_UNSETTLED : PRL_E_STORE_DOWN,
		      "store at %s: call for \"%s\" failed: %s",
		      c->store->address, c->key, curl_easy_strerror(result));
}

/* An era counts once the whole response has come. */
static void read_era(struct store_call *c)
{
	for (struct curl_slist *f = c->answer.fields.first; f; f = f->next)
		platform_store_era_parse_header(f->data, &c->era);
	store_note_era(c->store, c->era);
}

static void release_transfer(struct store_call *c)
{
	curl_slist_free_all(c->headers);
	curl_easy_cleanup(c->fetch.easy);
	free(c->request_body);
	c->headers = NULL;
	c->fetch.easy = NULL;
	c->request_body = NULL;
	c->active = 0;
}

static enum prl_code send_call(struct store_call *c, struct prl_error *err);

static void on_done(struct fetch *f, CURLcode result)
{
	struct store_call *c = f->ctx;

	result = receiver_result(&c->answer, result);
	if (result) {
		report_transfer_error(c, result);
	} else {
		read_era(c);
		read_response(c);
	}
	release_transfer(c);
	/* A long list has several pages. */
	if (!c->err.code && c->has_more && !send_call(c, &c->err))
		return;
	c->done(c);
}

/* Splits a key "KIND/NAME": copies the kind and returns the name. */
static const char *split_key(const char *key, char *kind)
{
	size_t n = strcspn(key, "/");

	memcpy(kind, key, n);
	kind[n] = 0;
	return key[n] ? key + n + 1 : key + n;
}

/* Time in ms that the store may wait with the answer to a watch, so that it
 * arrives before the call times out. */
static int64_t watch_wait_ms(int64_t left_ms)
{
	return left_ms - MIN(left_ms / 2, ANSWER_MAX_MS);
}

static char *call_path(struct store_call *c, int64_t now)
{
	char kind[STORE_KEY_MAX];
	const char *name = split_key(c->key, kind);

	switch (c->op) {
	case STORE_GET:
		return platform_object_path(kind, name, 0);
	case STORE_LIST:
		return platform_list_path(kind, c->after);
	case STORE_WATCH:
		return platform_watch_path(kind,
					   store_version_revision(c->version),
					   watch_wait_ms(c->deadline_ms - now));
	case STORE_PUT:
		break;
	}
	if (!c->len)
		return platform_object_path(kind, name,
					    store_version_revision(c->version));
	/* A new object is created in its kind; the body has its name. */
	if (!c->version)
		return platform_list_path(kind, NULL);
	return platform_object_path(kind, name, 0);
}

static enum prl_code set_url(struct store_call *c, int64_t now,
			     struct prl_error *err)
{
	char *path = call_path(c, now);
	char *url;

	if (!path)
		return prl_error_set(err, PRL_E_MEMORY,
				     "store call: out of memory");
	url = g_strdup_printf("http://%s%s", c->store->address, path);
	curl_easy_setopt(c->fetch.easy, CURLOPT_URL, url);
	g_free(url);
	free(path);
	return PRL_OK;
}

static enum prl_code set_put_request(struct store_call *c,
				     struct prl_error *err)
{
	CURL *easy = c->fetch.easy;
	char kind[STORE_KEY_MAX];
	const char *name = split_key(c->key, kind);

	if (!c->len) {
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "DELETE");
		return PRL_OK;
	}
	c->request_body = platform_object_format(
		name, store_version_revision(c->version), c->value, c->len);
	if (!c->request_body)
		return prl_error_set(
			err, PRL_E_LIMIT,
			"store: the value of \"%s\" is not valid UTF-8",
			c->key);
	c->headers =
		curl_slist_append(c->headers, "Content-Type: application/json");
	c->headers = curl_slist_append(c->headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, c->request_body);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, c->headers);
	if (c->version)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
	return PRL_OK;
}

static void set_transfer_options(struct store_call *c, int64_t now)
{
	CURL *easy = c->fetch.easy;
	long left = (long)(c->deadline_ms > now ? c->deadline_ms - now : 1);

	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, left);
	receiver_attach(&c->answer, easy);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_connected);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, c);
	fetch_set_peer_timeout(easy, &unacked_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
}

static enum prl_code send_call(struct store_call *c, struct prl_error *err)
{
	int64_t now = prl_now_ms();
	CURL *easy = curl_easy_init();
	enum prl_code rc;

	if (!easy)
		return prl_error_set(err, PRL_E_MEMORY,
				     "store call: out of memory");
	receiver_finish(&c->answer);
	c->has_more = 0;
	c->issued = 0;
	c->active = 1;
	c->fetch = (struct fetch){.easy = easy, .done = on_done, .ctx = c};
	rc = set_url(c, now, err);
	if (!rc && c->op == STORE_PUT)
		rc = set_put_request(c, err);
	if (!rc) {
		set_transfer_options(c, now);
		rc = fetch_start(c->store->pool, &c->fetch, err);
	}
	if (rc) {
		release_transfer(c);
		return rc;
	}
	c->store->requests_sent[c->op]++;
	return PRL_OK;
}

enum prl_code store_call_start(struct store *s, struct store_call *c,
			       struct prl_error *err)
{
	memset(&c->err, 0, sizeof(c->err));
	c->store = s;
	c->object = NULL;
	c->nobject = 0;
	c->after = NULL;
	c->revision = 0;
	c->era = 0;
	c->headers = NULL;
	c->request_body = NULL;
	receiver_init(&c->answer, RESPONSE_MAX);
	return send_call(c, err);
}

void store_call_cancel(struct store_call *c)
{
	if (!c->active)
		return;
	fetch_cancel(c->store->pool, &c->fetch);
	release_transfer(c);
	store_call_finish(c);
}

void store_call_finish(struct store_call *c)
{
	for (int i = 0; i < c->nobject; i++)
		free(c->object[i].value);
	free(c->object);
	free(c->after);
	receiver_finish(&c->answer);
	c->after = NULL;
	c->object = NULL;
	c->nobject = 0;
}

static void mark_ended(struct store_call *c)
{
	*(int *)c->ctx = 1;
}

enum prl_code store_call_wait(struct store *s, struct loop *l,
			      struct store_call *c)
{
	int ended = 0;
	enum prl_code rc;

	c->done = mark_ended;
	c->ctx = &ended;
	rc = store_call_start(s, c, &c->err);
	if (rc)
		return rc;
	while (!ended)
		loop_run_once(l, PRL_NEVER);
	return c->err.code;
}
