/* Load generator: callers look up their entry VMs, cache the result until it
 * expires, send requests, verify each response body, and count outcomes. */
#include "answer.h"
#include "latencies.h"
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

/* Maximum number of VMs that are used from one lookup result. */
#define VMS_MAX 4
#define LOOKUP_TIMEOUT_MS 1000

/* Lookup result that all callers of one block share. */
struct lookup_result {
	char vm[VMS_MAX][64];
	int n;
	/** In Unix time. */
	int64_t expires_wall_ms;
};

struct caller {
	struct fetch fetch;
	struct lookup_result *lookup;
	struct curl_slist *headers;
	char id[40];
	int busy;
	/** Index in the lookup result of the VM to try first. */
	int vm;
	int attempts;
	int64_t began_us;
	/** When the request should have been sent; latency counts from then. */
	int64_t due_us;
	uint64_t sent_bytes;
	uint64_t received_bytes;
	int body_mismatch;
	int status;
	int not_run;
	int unknown;
	/** Digest of the upload as the upstream received it. */
	char digest[20];
	/** Offset of the byte pattern of bodies, from the hash of the id. */
	uint64_t pattern_offset;
	XXH64_state_t *upload_digest;
};

static struct {
	struct loop loop;
	struct fetch_pool fetches;
	const char *vm_addresses;
	const char *service;
	const char *region;
	const char *path;
	const char *method;
	/** Send to this address without a lookup. */
	const char *direct_address;
	int64_t upload_bytes;
	int64_t response_bytes;
	int64_t work_ms;
	int64_t requests;
	/** Rate of an open loop; 0 for a closed loop. */
	int64_t requests_per_s;
	int64_t end_ms;
	int send_idempotency_key;
	/** Send the path without query arguments, and don't verify bodies. */
	int raw;
	int nblock;
	int ncaller;
	struct caller *caller;
	struct lookup_result *lookup;
	int64_t started;
	int64_t finished;
	int64_t next_due_us;
	uint64_t ok, shed, failed, cut, wrong, unknown, replayed, retried;
	uint64_t lookups;
	struct latencies latencies;
	struct loop_timer timer;

	uint64_t run_id;
} load;

static size_t on_lookup(char *data, size_t size, size_t n, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * n));
	return size * n;
}

static void parse_lookup(const char *text, struct lookup_result *result)
{
	json_t *root = json_loads(text, 0, NULL);
	json_t *vms = json_object_get(root, "vms");

	result->n = 0;
	for (size_t i = 0; i < json_array_size(vms) && i < VMS_MAX; i++)
		snprintf(result->vm[result->n++], sizeof(result->vm[0]), "%s",
			 json_string_value(json_object_get(
				 json_array_get(vms, i), "address")));
	result->expires_wall_ms =
		json_integer_value(json_object_get(root, "expires"));
	json_decref(root);
}

static int request_lookup(const char *vm, struct lookup_result *result)
{
	GString *text = g_string_new("");
	CURL *easy = curl_easy_init();
	char url[256];
	CURLcode rc;

	snprintf(url, sizeof(url),
		 "http://%s/-/lookup?service=%s&block=%lld%s%s", vm,
		 load.service, (long long)(result - load.lookup),
		 load.region ? "&region=" : "", load.region ? load.region : "");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)LOOKUP_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_lookup);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
	rc = curl_easy_perform(easy);
	if (!rc)
		parse_lookup(text->str, result);
	curl_easy_cleanup(easy);
	g_string_free(text, TRUE);
	return !rc && result->n > 0;
}

/* Renews an expired result from the first VM of the list given by --vm that
 * responds. */
static void refresh_lookup(struct lookup_result *result)
{
	gchar **vms;

	if (load.direct_address || prl_wall_ms() < result->expires_wall_ms)
		return;
	vms = g_strsplit(load.vm_addresses, ",", -1);
	load.lookups++;
	for (int i = 0; vms[i]; i++)
		if (request_lookup(vms[i], result))
			break;
	g_strfreev(vms);
}

static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct caller *c = ctx;

	for (size_t i = 0; i < size * n && c->status == 200 && !load.raw; i++) {
		uint64_t pos = c->received_bytes + i;

		if (data[i] != (char)('a' + (pos + c->pattern_offset) % 23))
			c->body_mismatch = 1;
	}
	c->received_bytes += size * n;
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
	uint64_t left = (uint64_t)load.upload_bytes - c->sent_bytes;
	size_t len = size * n < left ? size * n : left;

	for (size_t i = 0; i < len; i++)
		data[i] = (char)(c->sent_bytes + i + c->pattern_offset);
	XXH64_update(c->upload_digest, data, len);
	c->sent_bytes += len;
	return len;
}

static void start_request(struct caller *c);

static int upload_digest_matches(const struct caller *c)
{
	char text[20];

	if (!load.upload_bytes)
		return 1;
	snprintf(text, sizeof(text), "%016llx",
		 (unsigned long long)XXH64_digest(c->upload_digest));
	return !strcmp(text, c->digest);
}

static void count_outcome(struct caller *c, CURLcode rc)
{
	if (rc == CURLE_PARTIAL_FILE || (rc && c->status == 200)) {
		load.cut++;
	} else if (rc) {
		load.failed++;
	} else if (c->status == 503 && c->not_run) {
		load.shed++;
	} else if (c->status == 409) {
		load.replayed++;
	} else if (c->status == 200 && !load.raw &&
		   (c->body_mismatch ||
		    c->received_bytes != (uint64_t)load.response_bytes ||
		    !upload_digest_matches(c))) {
		load.wrong++;
	} else if (c->status == 200) {
		load.ok++;
		latencies_add(&load.latencies, prl_now_us() - c->due_us);
	} else if (c->unknown) {
		load.unknown++;
	} else {
		load.failed++;
	}
}

static int has_more_requests(void)
{
	if (load.end_ms)
		return prl_now_ms() < load.end_ms;
	return load.started < load.requests;
}

static void finish_request(struct caller *c)
{
	c->busy = 0;
	load.finished++;
	if (!load.requests_per_s && has_more_requests())
		start_request(c);
	else if (load.finished == load.started && !has_more_requests())
		loop_stop(&load.loop);
}

static void send_request(struct caller *c);

static void on_done(struct fetch *f, CURLcode rc)
{
	struct caller *c = f->ctx;
	/* The request did not run if the VM refuses connections, since it has
	 * stopped after the lookup, or if it shed the request. */
	int retry = rc == CURLE_COULDNT_CONNECT ||
		    (!rc && c->status == 503 && c->not_run);

	curl_slist_free_all(c->headers);
	c->headers = NULL;
	if (retry && !load.direct_address && c->attempts < c->lookup->n) {
		load.retried++;
		send_request(c);
		return;
	}
	count_outcome(c, rc);
	finish_request(c);
}

static void set_headers(struct caller *c)
{
	char line[128];

	snprintf(line, sizeof(line), "Host: %s", load.service);
	c->headers = curl_slist_append(NULL, line);
	snprintf(line, sizeof(line), "Request-Id: %s", c->id);
	c->headers = curl_slist_append(c->headers, line);
	/* The users' platform takes the request id from X-Request-Id. */
	if (load.raw) {
		snprintf(line, sizeof(line), "X-Request-Id: %s", c->id);
		c->headers = curl_slist_append(c->headers, line);
	}
	snprintf(line, sizeof(line), "Caller-Block: %lld",
		 (long long)(c->lookup - load.lookup));
	c->headers = curl_slist_append(c->headers, line);
	if (load.send_idempotency_key) {
		snprintf(line, sizeof(line), "Idempotency-Key: %s", c->id);
		c->headers = curl_slist_append(c->headers, line);
	}
	c->headers = curl_slist_append(c->headers, "Expect:");
}

static void send_request(struct caller *c)
{
	CURL *easy = c->fetch.easy;
	const char *vm = load.direct_address;
	char url[256];

	refresh_lookup(c->lookup);
	if (!vm)
		vm = c->lookup->vm[(c->vm + c->attempts++) %
				   (c->lookup->n ? c->lookup->n : 1)];
	snprintf(url, sizeof(url), "http://%s%s?work=%lld&size=%lld", vm,
		 load.path, (long long)load.work_ms,
		 (long long)load.response_bytes);
	if (load.raw)
		snprintf(url, sizeof(url), "http://%s%s", vm, load.path);
	c->sent_bytes = 0;
	c->received_bytes = 0;
	c->body_mismatch = 0;
	c->status = 0;
	c->not_run = 0;
	c->unknown = 0;
	c->digest[0] = 0;
	XXH64_reset(c->upload_digest, 0);
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
	if (load.upload_bytes) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
				 (curl_off_t)load.upload_bytes);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_upload);
		curl_easy_setopt(easy, CURLOPT_READDATA, c);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, load.method);
	fetch_start(&load.fetches, &c->fetch, NULL);
}

static void start_request(struct caller *c)
{
	c->busy = 1;
	c->attempts = 0;
	load.started++;
	snprintf(c->id, sizeof(c->id), "%llx-%llu",
		 (unsigned long long)load.run_id,
		 (unsigned long long)load.started);
	c->pattern_offset = XXH64(c->id, strlen(c->id), 0);
	c->began_us = prl_now_us();
	if (!load.requests_per_s)
		c->due_us = c->began_us;
	send_request(c);
}

static struct caller *find_idle_caller(void)
{
	for (int i = 0; i < load.ncaller; i++)
		if (!load.caller[i].busy)
			return &load.caller[i];
	return NULL;
}

/* Open loop: the intervals between requests are exponentially distributed, and
 * latency is measured from the time at which a request was due. */
static void start_due_requests(struct loop_timer *t, int64_t now)
{
	while (has_more_requests() && prl_now_us() >= load.next_due_us) {
		struct caller *c = find_idle_caller();
		double u = (g_random_double() * 0.999999) + 0.0000005;

		if (!c)
			break;
		c->due_us = load.next_due_us;
		load.next_due_us += (int64_t)(-1e6 * __builtin_log(u) /
					      (double)load.requests_per_s);
		start_request(c);
	}
	if (has_more_requests())
		t->deadline_ms = now + 1;
	else if (load.finished == load.started)
		loop_stop(&load.loop);
	else
		t->deadline_ms = now + 5;
}

static void report(int64_t ms)
{
	struct latencies *l = &load.latencies;

	latencies_sort(l);
	printf("{\"sent\":%lld,\"ok\":%llu,\"shed\":%llu,\"failed\":%llu,"
	       "\"cut\":%llu,\"wrong\":%llu,\"unknown\":%llu,"
	       "\"replayed\":%llu,\"retried\":%llu,\"lookups\":%llu,"
	       "\"ms\":%lld,\"per_second\":%.0f,\"p50_us\":%u,\"p99_us\":%u,"
	       "\"p999_us\":%u}\n",
	       (long long)load.started, (unsigned long long)load.ok,
	       (unsigned long long)load.shed, (unsigned long long)load.failed,
	       (unsigned long long)load.cut, (unsigned long long)load.wrong,
	       (unsigned long long)load.unknown,
	       (unsigned long long)load.replayed,
	       (unsigned long long)load.retried,
	       (unsigned long long)load.lookups, (long long)ms,
	       (double)load.finished * 1000.0 / (double)(ms + 1),
	       latencies_quantile(l, 0.5), latencies_quantile(l, 0.99),
	       latencies_quantile(l, 0.999));
}

static int64_t option_int(int argc, char **argv, const char *name,
			  const char *default_value)
{
	return strtoll(command_option(argc, argv, name, default_value), NULL,
		       10);
}

static void read_options(int argc, char **argv)
{
	load.vm_addresses = command_option(argc, argv, "vm", "127.0.0.1:8000");
	load.service = command_option(argc, argv, "service", "cotizador");
	load.region = command_option(argc, argv, "region", NULL);
	load.path = command_option(argc, argv, "path", "/check");
	load.method = command_option(argc, argv, "method", "GET");
	load.direct_address = command_option(argc, argv, "direct", NULL);
	load.upload_bytes = option_int(argc, argv, "upload", "0");
	load.response_bytes = option_int(argc, argv, "size", "2048");
	load.work_ms = option_int(argc, argv, "work", "5");
	load.requests = option_int(argc, argv, "requests", "100");
	load.requests_per_s = option_int(argc, argv, "rate", "0");
	load.nblock = (int)option_int(argc, argv, "blocks", "1");
	load.send_idempotency_key = (int)option_int(argc, argv, "once", "0");
	load.raw = (int)option_int(argc, argv, "raw", "0");
	load.ncaller = (int)option_int(argc, argv, "callers", "8");
	load.run_id = (uint64_t)option_int(argc, argv, "serial", "0");
	if (!load.run_id)
		load.run_id = (uint64_t)prl_wall_ms() ^ g_random_int();
	if (option_int(argc, argv, "ms", "0"))
		load.end_ms = prl_now_ms() + option_int(argc, argv, "ms", "0");
}

/* Sends a PUT request: writes an object of the store as the platform does, or
 * calls an admin page of a stand-in. */
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
	const char *put = command_option(argc, argv, "put", NULL);
	struct prl_error err;
	int64_t started_ms;

	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	if (put)
		return put_object(put, command_option(argc, argv, "value", ""));
	read_options(argc, argv);
	load.caller = calloc((size_t)load.ncaller, sizeof(*load.caller));
	load.lookup = calloc((size_t)load.nblock, sizeof(*load.lookup));
	if (latencies_init(&load.latencies) || !load.caller || !load.lookup ||
	    loop_init(&load.loop, &err) ||
	    fetch_pool_init(&load.fetches, &load.loop, &err))
		return 1;
	for (int i = 0; i < load.ncaller; i++) {
		load.caller[i].fetch.easy = curl_easy_init();
		load.caller[i].fetch.done = on_done;
		load.caller[i].fetch.ctx = &load.caller[i];
		load.caller[i].lookup = &load.lookup[i % load.nblock];
		load.caller[i].upload_digest = XXH64_createState();
		/* 7 of 10 callers use the first VM of the lookup result, the
		 * others one of the next three each. */
		load.caller[i].vm = i % 10 < 7 ? 0 : i % 10 - 6;
	}
	load.timer.on_expiry = start_due_requests;
	loop_timer_add(&load.loop, &load.timer);
	started_ms = prl_now_ms();
	load.next_due_us = prl_now_us();
	if (load.requests_per_s)
		load.timer.deadline_ms = started_ms;
	for (int i = 0;
	     !load.requests_per_s && i < load.ncaller && has_more_requests();
	     i++)
		start_request(&load.caller[i]);
	loop_run(&load.loop);
	report(prl_now_ms() - started_ms);
	return load.cut || load.wrong ? 1 : 0;
}
