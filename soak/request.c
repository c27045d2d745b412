#include "request.h"
#include <curl/curl.h>
#include <primroselead/clock.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

/* Longest time that a caller waits for an answer, in ms. */
#define CALLER_TIMEOUT_MS 3000L

/* Longest bodies that the routes with and without uploads get, in bytes. */
#define UPLOAD_MAX_BYTES 200000
#define BODY_MAX_BYTES 3000

/* Longest time in which an upload is sent, in ms. */
#define UPLOAD_MAX_MS 1200

/* Of this many heads, one has further fields: up to this number, of six bytes.
 */
#define LONG_HEAD_ONE_IN 16
#define FIELDS_MAX 2600

/* How the upstream is to answer. */
enum behaviour {
	/** A body that names the request. */
	ECHO,
	/** One of the faults of standin-odd. */
	ODD,
	/** Bytes drawn from a number (faulty.h). */
	BYTES,
};

/* A request before it is sent. */
struct draft {
	enum behaviour behaviour;
	const char *method;
	char path[40];
	size_t body_len;
	int is_chunked;
	/** Rate limit of the body; 0 for none. */
	long body_bytes_per_s;
	size_t body_sent;
};

struct response {
	char body[200];
	size_t len;
	char id[40];
	char stamp[40];
	int not_run;
};

static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct response *r = ctx;
	size_t len = size * n;
	size_t room = sizeof(r->body) - 1 - r->len;

	memcpy(r->body + r->len, data, len < room ? len : room);
	r->len += len < room ? len : room;
	return len;
}

static size_t on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct response *r = ctx;

	if (!strncasecmp(data, "Request-Outcome: not-run", 24))
		r->not_run = 1;
	if (!strncasecmp(data, "X-Request-Id: ", 14))
		sscanf(data + 14, "%39s", r->id);
	if (!strncasecmp(data, "X-Server-Stamp: ", 16))
		sscanf(data + 16, "%39s", r->stamp);
	return size * n;
}

static size_t on_upload(char *data, size_t size, size_t n, void *ctx)
{
	struct draft *d = ctx;
	size_t left = d->body_len - d->body_sent;
	size_t len = size * n < left ? size * n : left;

	memset(data, 'x', len);
	d->body_sent += len;
	return len;
}

/* A body that was begun is not sent again over another connection: the request
 * may run already. */
static int refuse_again(void *ctx, curl_off_t offset, int origin)
{
	(void)ctx;
	(void)offset;
	(void)origin;
	return CURL_SEEKFUNC_FAIL;
}

static void draw_body(GRand *random, struct draft *d)
{
	int is_upload = !strncmp(d->path, "/up/", 4);

	d->body_len = (size_t)g_rand_int_range(
		random, 1, is_upload ? UPLOAD_MAX_BYTES : BODY_MAX_BYTES);
	d->is_chunked = g_rand_boolean(random);
	if (is_upload && g_rand_boolean(random))
		d->body_bytes_per_s =
			1 +
			(long)d->body_len * 1000 /
				g_rand_int_range(random, 100, UPLOAD_MAX_MS);
}

static void draw_behaviour(GRand *random, struct draft *d, int is_quiet)
{
	int n = g_rand_int_range(random, 0, 20);

	d->behaviour = ECHO;
	if (n == 0)
		d->behaviour = ODD;
	if (n >= 18 && !is_quiet)
		d->behaviour = BYTES;
}

static void draw_mode(GRand *random, struct draft *d)
{
	static const char *const odd[] = {"cut",  "extra",  "other",
					  "shed", "close",  "endless-head",
					  "bare", "garbage"};
	size_t n = strlen(d->path);

	switch (d->behaviour) {
	case ECHO:
		snprintf(d->path + n, sizeof(d->path) - n, "echo");
		break;
	case ODD:
		snprintf(d->path + n, sizeof(d->path) - n, "%s",
			 odd[g_rand_int_range(random, 0, G_N_ELEMENTS(odd))]);
		break;
	case BYTES:
		snprintf(d->path + n, sizeof(d->path) - n, "bytes-%d",
			 g_rand_int_range(random, 0, 1 << 30));
		break;
	}
}

/* A quarter of the requests must run once, a third of them with an upload. */
static struct draft draw(GRand *random, int is_quiet)
{
	struct draft d = {.method = "GET", .path = "/safe/"};

	draw_behaviour(random, &d, is_quiet);
	if (g_rand_int_range(random, 0, 4) == 0) {
		d.method = "POST";
		strcpy(d.path,
		       g_rand_int_range(random, 0, 3) ? "/once/" : "/up/");
		draw_body(random, &d);
	} else if (d.behaviour == BYTES && !g_rand_int_range(random, 0, 4)) {
		d.method = "HEAD";
	}
	draw_mode(random, &d);
	return d;
}

static int is_own_body(const struct draft *d, const char *id, int status,
		       const struct response *r)
{
	char expected[60];

	if (!strcmp(d->method, "HEAD") || status == 204)
		return !r->len;
	if (d->behaviour == ODD)
		return !strcmp(r->body, "hello world\n");
	for (int n = 1; n <= SOAK_UPSTREAMS; n++) {
		snprintf(expected, sizeof(expected), "%s at i-%d\n", id, n);
		if (!strcmp(r->body, expected))
			return 1;
	}
	return 0;
}

static int is_own_stamp(const struct draft *d, const char *id,
			const char *stamp)
{
	char expected[60] = "1.2.3";

	if (d->behaviour == BYTES)
		snprintf(expected, sizeof(expected), "s-%s", id);
	return !strcmp(stamp, expected);
}

/* Responses that no upstream gave have no stamp, and are no success. */
static enum soak_promise broken_promise(const struct draft *d, const char *id,
					int status, const struct response *r)
{
	if (r->id[0] && strcmp(r->id, id) != 0)
		return SOAK_OWN_ANSWER;
	if (!status || (status >= 300 && !r->stamp[0]))
		return SOAK_NONE;
	if (!r->id[0])
		return SOAK_OWN_ANSWER;
	if (!is_own_stamp(d, id, r->stamp))
		return SOAK_STAMP;
	if (status != 200 &&
	    (d->behaviour != BYTES || (status != 204 && status != 500)))
		return SOAK_STATUS;
	return is_own_body(d, id, status, r) ? SOAK_NONE : SOAK_WHOLE_ANSWER;
}

/* Adds many short fields to some heads, all within the manifest's limit; which
 * ones depends on the id alone. */
static struct curl_slist *add_fields(struct curl_slist *headers, const char *id)
{
	guint hash = g_str_hash(id);
	guint n = hash / LONG_HEAD_ONE_IN % FIELDS_MAX;

	if (hash % LONG_HEAD_ONE_IN)
		return headers;
	while (n--)
		headers = curl_slist_append(headers, "a: 1");
	return headers;
}

static struct curl_slist *format_headers(GRand *random, const char *id,
					 const struct draft *d)
{
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	char line[80];

	snprintf(line, sizeof(line), "X-Request-Id: %s", id);
	headers = curl_slist_append(headers, line);
	headers = curl_slist_append(headers, "X-Deadline-Remaining-Ms: 2000");
	headers = curl_slist_append(headers, "Host: h.example");
	if (d->is_chunked)
		headers = curl_slist_append(headers,
					    "Transfer-Encoding: chunked");
	snprintf(line, sizeof(line), "X-Affinity-Key: %d",
		 g_rand_int_range(random, 0, 12));
	return add_fields(curl_slist_append(headers, line), id);
}

static void set_method(CURL *easy, struct draft *d)
{
	if (!strcmp(d->method, "HEAD"))
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	if (strcmp(d->method, "POST") != 0)
		return;
	curl_easy_setopt(easy, CURLOPT_POST, 1L);
	if (!d->is_chunked)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)d->body_len);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_upload);
	curl_easy_setopt(easy, CURLOPT_READDATA, d);
	curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, refuse_again);
	curl_easy_setopt(easy, CURLOPT_MAX_SEND_SPEED_LARGE,
			 (curl_off_t)d->body_bytes_per_s);
}

/* Options of the one before don't hold; open connections stay. */
static void set_options(CURL *easy, struct draft *d, const char *url,
			struct response *r)
{
	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CALLER_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, r);
	set_method(easy, d);
}

static int is_promise_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

void soak_send_request(CURL *easy, GRand *random, int is_quiet,
		       struct soak_request *q)
{
	struct draft d = draw(random, is_quiet);
	struct response r = {0};
	struct curl_slist *headers = format_headers(random, q->id, &d);
	char url[80];
	long status = 0;
	CURLcode rc;

	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", HTTP_PORT(q->vm),
		 d.path);
	set_options(easy, &d, url, &r);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	q->plain = d.behaviour == ECHO;
	q->once = !strcmp(d.method, "POST");
	snprintf(q->path, sizeof(q->path), "%s", d.path);
	q->begin_ms = prl_now_ms();
	rc = curl_easy_perform(easy);
	q->end_ms = prl_now_ms();
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	q->status = rc ? 0 : (int)status;
	q->not_run = !rc && (r.not_run || is_promise_not_run(q->status));
	q->broken = broken_promise(&d, q->id, q->status, &r);
	curl_slist_free_all(headers);
}
