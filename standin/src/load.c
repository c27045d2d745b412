/* Load tool: callers that ask which entry VM to use, keep the answer until it
 * expires, send requests, check each answer whole, and count outcomes. */
#include "answer.h"
#include <apr_general.h>
#include <glib.h>
#include <jansson.h>
#include <primroselead/clock.h>
#include <primroselead/fetch.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define VMS_MAX 4
#define SAMPLES_MAX 2000000
#define ASK_MS 1000

/* An answer to a look-up, kept by all callers of one block. */
struct named_set {
	char vm[VMS_MAX][64];
	int n;
	int64_t expires_wall;
};

struct caller {
	struct fetch fetch;
	struct named_set *named;
	struct curl_slist *headers;
	char id[40];
	int busy;
	int vm;
	int tries;
	int64_t began_us;
	int64_t due_us;
	uint64_t sent;
	uint64_t received;
	int wrong;
	int status;
	int not_run;
	int unknown;
	char digest[20];
	uint64_t pattern;
	XXH64_state_t *up_digest;
};

static struct {
	struct loop loop;
	struct fetch_pool fetches;
	const char *vm;
	const char *service;
	const char *region;
	const char *path;
	const char *method;
	const char *direct;
	int64_t upload;
	int64_t size;
	int64_t work;
	int64_t requests;
	int64_t rate;
	int64_t until_ms;
	int once;
	/** Takes the path as it is and any answer as whole. */
	int raw;
	int blocks;
	int callers;
	struct caller *caller;
	struct named_set *set;
	int64_t started;
	int64_t finished;
	int64_t next_due_us;
	uint64_t ok, shed, failed, cut, wrong, unknown, replayed, retried;
	uint64_t lookups;
	uint32_t *sample;
	uint64_t nsample;
	struct loop_timer timer;

	uint64_t serial;
} ld;

static size_t on_lookup(char *data, size_t size, size_t n, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * n));
	return size * n;
}

static void read_lookup(const char *text, struct named_set *set)
{
	json_t *root = json_loads(text, 0, NULL);
	json_t *vms = json_object_get(root, "vms");

	set->n = 0;
	for (size_t i = 0; i < json_array_size(vms) && i < VMS_MAX; i++)
		snprintf(set->vm[set->n++], sizeof(set->vm[0]), "%s",
			 json_string_value(json_object_get(
				 json_array_get(vms, i), "address")));
	set->expires_wall =
		json_integer_value(json_object_get(root, "expires"));
	json_decref(root);
}

static int ask(const char *vm, struct named_set *set)
{
	GString *text = g_string_new("");
	CURL *easy = curl_easy_init();
	char url[256];
	CURLcode rc;

	snprintf(url, sizeof(url),
		 "http://%s/-/lookup?service=%s&block=%lld%s%s", vm, ld.service,
		 (long long)(set - ld.set), ld.region ? "&region=" : "",
		 ld.region ? ld.region : "");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)ASK_MS);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_lookup);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
	rc = curl_easy_perform(easy);
	if (!rc)
		read_lookup(text->str, set);
	curl_easy_cleanup(easy);
	g_string_free(text, TRUE);
	return !rc && set->n > 0;
}

/* VMs given on the command line, "a,b,c", are asked in turn. */
static void refresh(struct named_set *set)
{
	gchar **vms;

	if (ld.direct || prl_wall_ms() < set->expires_wall)
		return;
	vms = g_strsplit(ld.vm, ",", -1);
	ld.lookups++;
	for (int i = 0; vms[i]; i++)
		if (ask(vms[i], set))
			break;
	g_strfreev(vms);
}

static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct caller *c = ctx;

	for (size_t i = 0; i < size * n && c->status == 200 && !ld.raw; i++) {
		uint64_t pos = c->received + i;

		if (data[i] != (char)('a' + (pos + c->pattern) % 23))
			c->wrong = 1;
	}
	c->received += size * n;
	return size * n;
}

static size_t on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct caller *c = ctx;
	char line[256];

	snprintf(line, sizeof(line), "%.*s", (int)(size * n), data);
	if (!strncmp(line, "HTTP/", 5))
		c->status = atoi(strchr(line, ' ') + 1);
	if (!strncasecmp(line, "Request-Outcome: not-run", 24))
		c->not_run = 1;
	if (!strncasecmp(line, "Request-Outcome: unknown", 24))
		c->unknown = 1;
	if (!strncasecmp(line, "Body-Digest: ", 13))
		snprintf(c->digest, sizeof(c->digest), "%.16s", line + 13);
	return size * n;
}

static size_t on_upload(char *data, size_t size, size_t n, void *ctx)
{
	struct caller *c = ctx;
	uint64_t left = (uint64_t)ld.upload - c->sent;
	size_t len = size * n < left ? size * n : left;

	for (size_t i = 0; i < len; i++)
		data[i] = (char)(c->sent + i + c->pattern);
	XXH64_update(c->up_digest, data, len);
	c->sent += len;
	return len;
}

static void begin(struct caller *c);

static void sample(const struct caller *c)
{
	if (ld.nsample < SAMPLES_MAX)
		ld.sample[ld.nsample++] = (uint32_t)(prl_now_us() - c->due_us);
}

static int upload_arrived(const struct caller *c)
{
	char text[20];

	if (!ld.upload)
		return 1;
	snprintf(text, sizeof(text), "%016llx",
		 (unsigned long long)XXH64_digest(c->up_digest));
	return !strcmp(text, c->digest);
}

static void count(struct caller *c, CURLcode rc)
{
	if (rc == CURLE_PARTIAL_FILE || (rc && c->status == 200)) {
		ld.cut++;
	} else if (rc) {
		ld.failed++;
	} else if (c->status == 503 && c->not_run) {
		ld.shed++;
	} else if (c->status == 409) {
		ld.replayed++;
	} else if (c->status == 200 && !ld.raw &&
		   (c->wrong || c->received != (uint64_t)ld.size ||
		    !upload_arrived(c))) {
		ld.wrong++;
	} else if (c->status == 200) {
		ld.ok++;
		sample(c);
	} else if (c->unknown) {
		ld.unknown++;
	} else {
		ld.failed++;
	}
}

static int more(void)
{
	if (ld.until_ms)
		return prl_now_ms() < ld.until_ms;
	return ld.started < ld.requests;
}

static void finish(struct caller *c)
{
	c->busy = 0;
	ld.finished++;
	if (!ld.rate && more())
		begin(c);
	else if (ld.finished == ld.started && !more())
		loop_stop(&ld.loop);
}

static void send_request(struct caller *c);

static void on_done(struct fetch *f, CURLcode rc)
{
	struct caller *c = f->ctx;
	/* A VM that no longer accepts was left since the look-up, and one that
	 * sheds says so: both did not run the request. */
	int again = rc == CURLE_COULDNT_CONNECT ||
		    (!rc && c->status == 503 && c->not_run);

	curl_slist_free_all(c->headers);
	c->headers = NULL;
	if (again && !ld.direct && c->tries < c->named->n) {
		ld.retried++;
		send_request(c);
		return;
	}
	count(c, rc);
	finish(c);
}

static void set_headers(struct caller *c)
{
	char line[128];

	snprintf(line, sizeof(line), "Host: %s", ld.service);
	c->headers = curl_slist_append(NULL, line);
	snprintf(line, sizeof(line), "Request-Id: %s", c->id);
	c->headers = curl_slist_append(c->headers, line);
	/* Routes of the users' platform want the name in their own header. */
	if (ld.raw) {
		snprintf(line, sizeof(line), "X-Request-Id: %s", c->id);
		c->headers = curl_slist_append(c->headers, line);
	}
	snprintf(line, sizeof(line), "Caller-Block: %lld",
		 (long long)(c->named - ld.set));
	c->headers = curl_slist_append(c->headers, line);
	if (ld.once) {
		snprintf(line, sizeof(line), "Idempotency-Key: %s", c->id);
		c->headers = curl_slist_append(c->headers, line);
	}
	c->headers = curl_slist_append(c->headers, "Expect:");
}

static void send_request(struct caller *c)
{
	CURL *easy = c->fetch.easy;
	const char *vm = ld.direct;
	char url[256];

	refresh(c->named);
	if (!vm)
		vm = c->named->vm[(c->vm + c->tries++) %
				  (c->named->n ? c->named->n : 1)];
	snprintf(url, sizeof(url), "http://%s%s?work=%lld&size=%lld", vm,
		 ld.path, (long long)ld.work, (long long)ld.size);
	if (ld.raw)
		snprintf(url, sizeof(url), "http://%s%s", vm, ld.path);
	c->sent = 0;
	c->received = 0;
	c->wrong = 0;
	c->status = 0;
	c->not_run = 0;
	c->unknown = 0;
	c->digest[0] = 0;
	XXH64_reset(c->up_digest, 0);
	curl_easy_reset(easy);
	set_headers(c);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 120000L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, c->headers);
	if (ld.upload) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
				 (curl_off_t)ld.upload);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_upload);
		curl_easy_setopt(easy, CURLOPT_READDATA, c);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, ld.method);
	fetch_start(&ld.fetches, &c->fetch, NULL);
}

static void begin(struct caller *c)
{
	c->busy = 1;
	c->tries = 0;
	ld.started++;
	snprintf(c->id, sizeof(c->id), "%llx-%llu",
		 (unsigned long long)ld.serial, (unsigned long long)ld.started);
	c->pattern = XXH64(c->id, strlen(c->id), 0);
	c->began_us = prl_now_us();
	if (!ld.rate)
		c->due_us = c->began_us;
	send_request(c);
}

static struct caller *free_caller(void)
{
	for (int i = 0; i < ld.callers; i++)
		if (!ld.caller[i].busy)
			return &ld.caller[i];
	return NULL;
}

/* Open loop: requests are due at exponential distances, and their latency
 * counts from when they were due. */
static void on_timer(struct loop_timer *t, int64_t now)
{
	while (more() && prl_now_us() >= ld.next_due_us) {
		struct caller *c = free_caller();
		double u = (g_random_double() * 0.999999) + 0.0000005;

		if (!c)
			break;
		c->due_us = ld.next_due_us;
		ld.next_due_us +=
			(int64_t)(-1e6 * __builtin_log(u) / (double)ld.rate);
		begin(c);
	}
	if (more())
		t->deadline = now + 1;
	else if (ld.finished == ld.started)
		loop_stop(&ld.loop);
	else
		t->deadline = now + 5;
}

static int by_value(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static uint32_t quantile(double q)
{
	if (!ld.nsample)
		return 0;
	return ld.sample[(uint64_t)((double)(ld.nsample - 1) * q)];
}

static void report(int64_t ms)
{
	qsort(ld.sample, ld.nsample, sizeof(*ld.sample), by_value);
	printf("{\"sent\":%lld,\"ok\":%llu,\"shed\":%llu,\"failed\":%llu,"
	       "\"cut\":%llu,\"wrong\":%llu,\"unknown\":%llu,"
	       "\"replayed\":%llu,\"retried\":%llu,\"lookups\":%llu,"
	       "\"ms\":%lld,\"per_second\":%.0f,\"p50_us\":%u,\"p99_us\":%u,"
	       "\"p999_us\":%u}\n",
	       (long long)ld.started, (unsigned long long)ld.ok,
	       (unsigned long long)ld.shed, (unsigned long long)ld.failed,
	       (unsigned long long)ld.cut, (unsigned long long)ld.wrong,
	       (unsigned long long)ld.unknown, (unsigned long long)ld.replayed,
	       (unsigned long long)ld.retried, (unsigned long long)ld.lookups,
	       (long long)ms, (double)ld.finished * 1000.0 / (double)(ms + 1),
	       quantile(0.5), quantile(0.99), quantile(0.999));
}

static int64_t number(int argc, char **argv, const char *name,
		      const char *preset)
{
	return strtoll(option(argc, argv, name, preset), NULL, 10);
}

static void read_options(int argc, char **argv)
{
	ld.vm = option(argc, argv, "vm", "127.0.0.1:8000");
	ld.service = option(argc, argv, "service", "cotizador");
	ld.region = option(argc, argv, "region", NULL);
	ld.path = option(argc, argv, "path", "/check");
	ld.method = option(argc, argv, "method", "GET");
	ld.direct = option(argc, argv, "direct", NULL);
	ld.upload = number(argc, argv, "upload", "0");
	ld.size = number(argc, argv, "size", "2048");
	ld.work = number(argc, argv, "work", "5");
	ld.requests = number(argc, argv, "requests", "100");
	ld.rate = number(argc, argv, "rate", "0");
	ld.blocks = (int)number(argc, argv, "blocks", "1");
	ld.once = (int)number(argc, argv, "once", "0");
	ld.raw = (int)number(argc, argv, "raw", "0");
	ld.callers = (int)number(argc, argv, "callers", "8");
	ld.serial = (uint64_t)number(argc, argv, "serial", "0");
	if (!ld.serial)
		ld.serial = (uint64_t)prl_wall_ms() ^ g_random_int();
	if (number(argc, argv, "ms", "0"))
		ld.until_ms = prl_now_ms() + number(argc, argv, "ms", "0");
}

/* Writes one object of the store, as the platform would. */
static int put_object(const char *where, const char *value)
{
	CURL *easy = curl_easy_init();
	char url[256];
	CURLcode rc;

	snprintf(url, sizeof(url), "http://%s", where);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, value);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
	rc = curl_easy_perform(easy);
	curl_easy_cleanup(easy);
	return rc ? 1 : 0;
}

int main(int argc, char **argv)
{
	const char *put = option(argc, argv, "put", NULL);
	struct prl_error err;
	int64_t began;

	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	if (put)
		return put_object(put, option(argc, argv, "value", ""));
	read_options(argc, argv);
	ld.sample = malloc(sizeof(*ld.sample) * SAMPLES_MAX);
	ld.caller = calloc((size_t)ld.callers, sizeof(*ld.caller));
	ld.set = calloc((size_t)ld.blocks, sizeof(*ld.set));
	if (!ld.sample || !ld.caller || !ld.set || loop_init(&ld.loop, &err) ||
	    fetch_pool_init(&ld.fetches, &ld.loop, &err))
		return 1;
	for (int i = 0; i < ld.callers; i++) {
		ld.caller[i].fetch.easy = curl_easy_init();
		ld.caller[i].fetch.done = on_done;
		ld.caller[i].fetch.ctx = &ld.caller[i];
		ld.caller[i].named = &ld.set[i % ld.blocks];
		ld.caller[i].up_digest = XXH64_createState();
		/* Most callers use the first VM named, some the others. */
		ld.caller[i].vm = i % 10 < 7 ? 0 : i % 10 - 6;
	}
	ld.timer.due = on_timer;
	loop_timer_add(&ld.loop, &ld.timer);
	began = prl_now_ms();
	ld.next_due_us = prl_now_us();
	if (ld.rate)
		ld.timer.deadline = began;
	for (int i = 0; !ld.rate && i < ld.callers && more(); i++)
		begin(&ld.caller[i]);
	loop_run(&ld.loop);
	report(prl_now_ms() - began);
	return ld.cut || ld.wrong ? 1 : 0;
}
