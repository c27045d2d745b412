#include "answer.h"
#include <primroselead/clock.h>
#include <primroselead/store.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Room for a list of many objects in one answer, in bytes. */
#define ANSWER_MAX (64 << 20)

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409

void store_init(struct store *s, struct fetch_pool *pool, const char *address)
{
	memset(s, 0, sizeof(*s));
	s->pool = pool;
	snprintf(s->address, sizeof(s->address), "%s", address);
}

static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct store_call *c = ctx;
	size_t len = size * n;
	char *bigger;

	if (c->nanswer + len > ANSWER_MAX)
		return 0;
	bigger = realloc(c->answer, c->nanswer + len + 1);
	if (!bigger)
		return 0;
	c->answer = bigger;
	memcpy(c->answer + c->nanswer, data, len);
	c->nanswer += len;
	c->answer[c->nanswer] = 0;
	return len;
}

static size_t on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct store_call *c = ctx;
	static const char name[] = "Version:";

	if (size * n > sizeof(name) &&
	    !strncasecmp(data, name, sizeof(name) - 1))
		c->revision = strtoll(data + sizeof(name) - 1, NULL, 10);
	return size * n;
}

static size_t on_upload(char *data, size_t size, size_t n, void *ctx)
{
	struct store_call *c = ctx;
	size_t len = c->len - c->sent;

	if (len > size * n)
		len = size * n;
	memcpy(data, c->value + c->sent, len);
	c->sent += len;
	return len;
}

/* A write that libcurl sends again on a second connection could take effect
 * twice, so the second attempt is refused. */
static int on_attempt(void *ctx, char *ip, char *local, int port, int lport)
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

static enum prl_code read_value(struct store_call *c)
{
	c->object = calloc(1, sizeof(*c->object));
	if (!c->object)
		return prl_fail(&c->err, PRL_E_MEMORY, "store, \"%s\"", c->key);
	memcpy(c->object->key, c->key, sizeof(c->key));
	c->object->version = c->revision;
	c->object->value = c->answer ? c->answer : calloc(1, 1);
	c->object->len = c->nanswer;
	c->answer = NULL;
	c->nobject = 1;
	return PRL_OK;
}

static enum prl_code read_answer(struct store_call *c, long status)
{
	if (status == HTTP_OK) {
		switch (c->op) {
		case STORE_GET:
			return read_value(c);
		case STORE_LIST:
		case STORE_WATCH:
			return store_read_list(c);
		case STORE_PUT:
			return PRL_OK;
		}
	}
	if (status == HTTP_NOT_FOUND)
		return prl_fail(&c->err, PRL_E_NOT_FOUND,
				"store: object \"%s\" does not exist", c->key);
	if (status == HTTP_CONFLICT)
		return prl_fail(&c->err, PRL_E_CONFLICT,
				"store: object \"%s\" has version %lld, not "
				"%lld",
				c->key, (long long)c->revision,
				(long long)c->version);
	if (c->op == STORE_PUT && status >= 500)
		return prl_fail(&c->err, PRL_E_UNSETTLED,
				"store: write of \"%s\" answered %ld", c->key,
				status);
	return prl_fail(&c->err, PRL_E_STORE_DOWN, "store: \"%s\" answered %ld",
			c->key, status);
}

static void fail_transfer(struct store_call *c, CURLcode result)
{
	int unsettled = c->op == STORE_PUT && c->issued;

	prl_fail(&c->err, unsettled ? PRL_E_UNSETTLED : PRL_E_STORE_DOWN,
		 "store at %s, \"%s\": %s", c->store->address, c->key,
		 curl_easy_strerror(result));
}

static void release(struct store_call *c)
{
	curl_slist_free_all(c->headers);
	curl_easy_cleanup(c->fetch.easy);
	c->headers = NULL;
	c->fetch.easy = NULL;
	c->active = 0;
}

static void on_done(struct fetch *f, CURLcode result)
{
	struct store_call *c = f->ctx;
	long status = 0;

	curl_easy_getinfo(f->easy, CURLINFO_RESPONSE_CODE, &status);
	if (result)
		fail_transfer(c, result);
	else
		read_answer(c, status);
	release(c);
	c->done(c);
}

static void set_url(struct store_call *c, int64_t now)
{
	char url[STORE_KEY_MAX * 2 + 128];
	const char *host = c->store->address;
	long long wait = c->deadline - now;

	switch (c->op) {
	case STORE_GET:
	case STORE_PUT:
		snprintf(url, sizeof(url), "http://%s/v1/objects/%s", host,
			 c->key);
		break;
	case STORE_LIST:
		snprintf(url, sizeof(url), "http://%s/v1/list?prefix=%s", host,
			 c->key);
		break;
	case STORE_WATCH:
		/* The store answers before the call itself times out. */
		snprintf(url, sizeof(url),
			 "http://%s/v1/watch?prefix=%s&after=%lld&wait=%lld",
			 host, c->key, (long long)c->version, wait * 3 / 4);
		break;
	}
	curl_easy_setopt(c->fetch.easy, CURLOPT_URL, url);
}

static void set_upload(struct store_call *c)
{
	CURL *easy = c->fetch.easy;
	char line[64];

	snprintf(line, sizeof(line), "If-Version: %lld", (long long)c->version);
	c->headers = curl_slist_append(c->headers, line);
	c->headers = curl_slist_append(c->headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
	curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE, (curl_off_t)c->len);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_upload);
	curl_easy_setopt(easy, CURLOPT_READDATA, c);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, c->headers);
}

enum prl_code store_start(struct store *s, struct store_call *c,
			  struct prl_error *err)
{
	int64_t now = prl_now_ms();
	long left = (long)(c->deadline > now ? c->deadline - now : 1);
	CURL *easy = curl_easy_init();

	if (!easy)
		return prl_fail(err, PRL_E_MEMORY, "store call");
	memset(&c->err, 0, sizeof(c->err));
	c->store = s;
	c->object = NULL;
	c->nobject = 0;
	c->revision = 0;
	c->headers = NULL;
	c->answer = NULL;
	c->nanswer = 0;
	c->sent = 0;
	c->issued = 0;
	c->active = 1;
	c->fetch = (struct fetch){.easy = easy, .done = on_done, .ctx = c};
	set_url(c, now);
	if (c->op == STORE_PUT)
		set_upload(c);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, left);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_attempt);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, c);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	s->calls[c->op]++;
	if (fetch_start(s->pool, &c->fetch, err)) {
		release(c);
		return PRL_E_IO;
	}
	return PRL_OK;
}

void store_cancel(struct store_call *c)
{
	if (!c->active)
		return;
	fetch_cancel(c->store->pool, &c->fetch);
	release(c);
	store_call_finish(c);
}

void store_call_finish(struct store_call *c)
{
	for (int i = 0; i < c->nobject; i++)
		free(c->object[i].value);
	free(c->object);
	free(c->answer);
	c->object = NULL;
	c->nobject = 0;
	c->answer = NULL;
	c->nanswer = 0;
}

static void on_waited(struct store_call *c)
{
	*(int *)c->ctx = 1;
}

enum prl_code store_call_wait(struct store *s, struct loop *l,
			      struct store_call *c)
{
	int ended = 0;
	enum prl_code rc;

	c->done = on_waited;
	c->ctx = &ended;
	rc = store_start(s, c, &c->err);
	if (rc)
		return rc;
	while (!ended)
		loop_once(l, PRL_NEVER);
	return c->err.code;
}
