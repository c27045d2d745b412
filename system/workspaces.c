#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "workspaces.h"
#include <cmocka.h>
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINES_MAX 8

static const char manifest_format[] =
	"{\"version\":%d,\"routes\":{"
	"\"a\":{\"host\":\"h.example\",\"path_prefix\":\"/safe/\","
	"\"kind\":\"safe\",\"timeout_ms\":2000,\"service\":\"s\","
	"\"max_attempts\":2,\"public\":true},"
	"\"b\":{\"host\":\"h.example\",\"path_prefix\":\"/keyed/\","
	"\"kind\":\"safe\",\"timeout_ms\":2000,\"service\":\"s\","
	"\"max_attempts\":2},"
	"\"c\":{\"host\":\"h.example\",\"path_prefix\":\"/keyed-once/\","
	"\"kind\":\"unsafe\",\"timeout_ms\":2000,\"service\":\"s\","
	"\"max_attempts\":2}},"
	"\"services\":{\"s\":{\"max_connections\":100,"
	"\"health_check_path\":\"/health\"},\"t\":{}},"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":{"
	"\"acme\":{\"api_keys\":[\"" KEY_OF_ACME "\",\"%s\"],\"priority\":7},"
	"\"birch\":{\"api_keys\":[\"" KEY_OF_BIRCH "\"],"
	"\"home_regions\":[\"norte\"]}}}";

void workspaces_put_manifest(int version, const char *key, int is_isolated)
{
	char text[sizeof(manifest_format) + 200];

	snprintf(text, sizeof(text), manifest_format, version, key);
	routes_put_object("config/main", text);
	if (!is_isolated)
		return;
	routes_use_store(ISOLATED_STORE_PORT);
	routes_put_object("config/main", text);
	routes_use_store(STORE_PORT);
}

/* Id of the last request. */
static char last_id[40];

struct http_response workspaces_request(int port, const char *path,
					const char *const *lines)
{
	static int serial;
	char id[80];
	char url[160];
	const char *headers[LINES_MAX + 3] = {id,
					      "X-Deadline-Remaining-Ms: 2000"};
	struct http_request req = {
		.url = url, .host = "h.example", .headers = headers};

	for (int i = 0; i < LINES_MAX && lines[i]; i++)
		headers[2 + i] = lines[i];
	snprintf(last_id, sizeof(last_id), "ws%d", ++serial);
	snprintf(id, sizeof(id), "X-Request-Id: %s", last_id);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", port, path);
	return harness_send_request(&req);
}

struct http_response workspaces_request_with_key(int n, const char *key)
{
	char line[200];
	const char *lines[] = {line, NULL};

	snprintf(line, sizeof(line), "Api-Key: %s", key);
	return workspaces_request(HTTP_PORT(n), "/keyed/fields", lines);
}

static int count(const char *text, const char *part)
{
	int n = 0;

	for (; (text = strcasestr(text, part)); text++)
		n++;
	return n;
}

void workspaces_expect_name(const struct http_response *resp, const char *name)
{
	char line[80];

	assert_int_equal(resp->status, 200);
	snprintf(line, sizeof(line), "\r\nX-Tenant-Name: %s\r\n", name);
	assert_int_equal(count(resp->body, line), 1);
	assert_int_equal(count(resp->body, "X-Tenant-Name"), 1);
	assert_int_equal(count(resp->body, KEY_MARK), 0);
}

/* Calls "each" for each line of the log files in the work directory. */
static void read_logs(void (*each)(void *ctx, const char *line), void *ctx)
{
	DIR *dir = opendir(harness_path(""));
	struct dirent *e;
	char *line = NULL;
	size_t size = 0;

	assert_non_null(dir);
	while ((e = readdir(dir))) {
		FILE *f = strstr(e->d_name, ".log")
				  ? fopen(harness_path(e->d_name), "r")
				  : NULL;

		while (f && getline(&line, &size, f) >= 0)
			each(ctx, line);
		if (f)
			fclose(f);
	}
	free(line);
	closedir(dir);
}

struct line_count {
	const char *text;
	int n;
};

static void count_line(void *ctx, const char *line)
{
	struct line_count *c = ctx;

	c->n += strstr(line, c->text) != NULL;
}

int workspaces_count_log_lines(const char *text)
{
	struct line_count c = {.text = text};

	read_logs(count_line, &c);
	return c.n;
}

struct digest_search {
	char mark[120];
	char *digest;
	int n;
	int differ;
};

static void find_digest(void *ctx, const char *line)
{
	struct digest_search *s = ctx;
	const char *at = strstr(line, s->mark);
	char digest[WORKSPACES_DIGEST_MAX];

	if (!at)
		return;
	at += strlen(s->mark);
	snprintf(digest, sizeof(digest), "%.*s", (int)strcspn(at, "\""), at);
	s->differ |= s->n && strcmp(digest, s->digest) != 0;
	strcpy(s->digest, digest);
	s->n++;
}

int workspaces_read_digest(char out[WORKSPACES_DIGEST_MAX])
{
	struct digest_search s = {.digest = out};

	out[0] = 0;
	snprintf(s.mark, sizeof(s.mark),
		 "\"event\":\"request\",\"id\":\"%s\",\"digest\":\"", last_id);
	read_logs(find_digest, &s);
	return s.differ ? -1 : s.n;
}
