#include "soak.h"
#include <curl/curl.h>
#include <primroselead/clock.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Longest time that a caller waits for an answer, in ms. */
#define CALLER_TIMEOUT_MS 3000L

/* Requests sent to one VM before another one is chosen, at most. */
#define REQUESTS_PER_VM_MAX 40

struct caller {
	struct soak *soak;
	int number;
	GRand *random;
	/** Keeps its connection from one request to the next. */
	CURL *easy;
	GThread *thread;
};

static struct caller callers[64];

/* Response to the current request of a caller. */
struct response {
	char body[200];
	size_t len;
	int not_run;
	char id[40];
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
	return size * n;
}

/* Paths: most upstreams answer, some answers are cut, doubled, of others, or
 * without end. */
static const char *draw_path(GRand *random, int *once)
{
	static const char *const odd[] = {"cut",  "extra",  "other",
					  "shed", "close",  "endless-head",
					  "bare", "garbage"};
	static char path[64][32];
	static _Atomic unsigned int next;
	char *out = path[next++ % 64];
	const char *mode =
		g_rand_int_range(random, 0, 20)
			? "echo"
			: odd[g_rand_int_range(random, 0, G_N_ELEMENTS(odd))];

	*once = g_rand_int_range(random, 0, 3) == 0;
	snprintf(out, sizeof(path[0]), "/%s/%s", *once ? "once" : "safe", mode);
	return out;
}

static int is_wrong(const struct soak_request *q, const struct response *r)
{
	char expected[40];

	if (q->status != 200)
		return 0;
	snprintf(expected, sizeof(expected), "%s at ", q->id);
	if (q->plain)
		return strncmp(r->body, expected, strlen(expected)) != 0 ||
		       strcmp(r->id, q->id) != 0;
	return strcmp(r->id, q->id) != 0 || strcmp(r->body, "hello world\n");
}

static void send_request(struct caller *c, int vm, int serial)
{
	struct soak *s = c->soak;
	struct soak_request q = {.vm = vm, .pid = s->vm_pid_now[vm]};
	struct response r = {0};
	const char *path = draw_path(c->random, &q.once);
	struct curl_slist *headers = NULL;
	char line[80];
	char url[80];
	long status = 0;
	CURLcode rc;

	q.plain = strstr(path, "echo") != NULL;
	snprintf(q.id, sizeof(q.id), "c%d-%d", c->number, serial);
	snprintf(line, sizeof(line), "X-Request-Id: %s", q.id);
	headers = curl_slist_append(headers, line);
	headers = curl_slist_append(headers, "X-Deadline-Remaining-Ms: 2000");
	headers = curl_slist_append(headers, "Host: h.example");
	snprintf(line, sizeof(line), "X-Affinity-Key: %d",
		 g_rand_int_range(c->random, 0, 12));
	headers = curl_slist_append(headers, line);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", HTTP_PORT(vm),
		 path);
	curl_easy_setopt(c->easy, CURLOPT_URL, url);
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(c->easy, CURLOPT_CUSTOMREQUEST,
			 q.once ? "POST" : "GET");
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, CALLER_TIMEOUT_MS);
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, &r);
	curl_easy_setopt(c->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c->easy, CURLOPT_HEADERDATA, &r);
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	q.begin_ms = prl_now_ms();
	rc = curl_easy_perform(c->easy);
	q.end_ms = prl_now_ms();
	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	q.status = rc ? 0 : (int)status;
	q.not_run = !rc && r.not_run;
	q.wrong = is_wrong(&q, &r);
	curl_slist_free_all(headers);
	g_mutex_lock(&s->requests_lock);
	g_array_append_val(s->requests, q);
	g_mutex_unlock(&s->requests_lock);
}

static int draw_vm(struct caller *c)
{
	struct soak *s = c->soak;

	for (int i = 0; i < 50; i++) {
		int vm = g_rand_int_range(c->random, 1, s->options.vms + 1);

		if (s->vm_state[vm] == SOAK_VM_UP)
			return vm;
	}
	return 0;
}

/* A caller uses a VM and its connection for some requests, also while that VM
 * stops, until the process is gone. */
static void *run_caller(void *ctx)
{
	struct caller *c = ctx;
	struct soak *s = c->soak;
	int serial = 0;

	while (!s->stopped) {
		int vm = draw_vm(c);
		int n = g_rand_int_range(c->random, 1, REQUESTS_PER_VM_MAX);

		while (vm && n-- && !s->stopped &&
		       s->vm_state[vm] != SOAK_VM_DOWN) {
			send_request(c, vm, ++serial);
			g_usleep((gulong)g_rand_int_range(c->random, 5000,
							  40000));
		}
		if (!vm)
			g_usleep(20000);
	}
	return NULL;
}

void soak_start_callers(struct soak *s)
{
	for (int i = 0; i < s->options.callers; i++) {
		struct caller *c = &callers[i];

		c->soak = s;
		c->number = i;
		c->random = g_rand_new_with_seed(
			(guint32)(s->options.seed * 1000 + (uint64_t)i));
		c->easy = curl_easy_init();
		c->thread = g_thread_new("caller", run_caller, c);
	}
}

void soak_join_callers(struct soak *s)
{
	for (int i = 0; i < s->options.callers; i++) {
		g_thread_join(callers[i].thread);
		curl_easy_cleanup(callers[i].easy);
		g_rand_free(callers[i].random);
	}
}
