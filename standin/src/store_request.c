#include "store_request.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OBJECTS "/api/objects/"

struct request *store_request_new(struct MHD_Connection *conn, const char *url,
				  const char *method)
{
	struct request *r = g_new0(struct request, 1);

	r->conn = conn;
	snprintf(r->method, sizeof(r->method), "%s", method);
	snprintf(r->path, sizeof(r->path), "%s", url);
	r->body = g_string_new("");
	r->timer.ctx = r;
	return r;
}

int store_request_is_write(const struct request *r)
{
	return strcmp(r->method, "GET") != 0;
}

int store_request_parse_path(struct request *r)
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

void store_request_free(struct request *r)
{
	g_string_free(r->body, TRUE);
	free(r->result_json);
	g_free(r);
}
