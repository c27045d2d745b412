#include <glib.h>
#include <primroselead/receiver.h>
#include <stdlib.h>
#include <string.h>

/* First allocation of a body, in bytes. */
#define BODY_MIN_BYTES 4096

void receiver_init(struct receiver *r, size_t max_bytes)
{
	memset(r, 0, sizeof(*r));
	response_head_init(&r->head);
	r->max_bytes = max_bytes;
}

static int add_field(struct receiver *r, const char *data, size_t len)
{
	char *line = g_strchomp(g_strndup(data, len));
	int rc = header_list_append(&r->fields, line);

	g_free(line);
	return rc;
}

/* Returns 0, or -1 to abort the transfer. */
static int read_line(struct receiver *r, const char *data, size_t len)
{
	switch (response_head_read(&r->head, data, len)) {
	case RESPONSE_STATUS_LINE:
		header_list_finish(&r->fields);
		return 0;
	case RESPONSE_FIELD:
		return add_field(r, data, len);
	case RESPONSE_INTERIM_END:
	case RESPONSE_HEAD_END:
	case RESPONSE_TRAILER:
		return 0;
	case RESPONSE_BAD_LINE:
		break;
	}
	return -1;
}

static size_t on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct receiver *r = ctx;
	size_t len = size * n;

	if (len > r->max_bytes - r->received_bytes)
		return 0;
	r->received_bytes += len;
	return read_line(r, data, len) ? 0 : len;
}

/* Makes room for more bytes of the body. Returns 0, or -1 if out of memory. */
static int reserve(struct receiver *r, size_t len)
{
	size_t used = r->body_len + 1;
	size_t size = BODY_MIN_BYTES;
	char *bigger;

	/* The allocated size follows from the length, so that it grows by
	 * doubling without being stored. */
	while (size < used)
		size *= 2;
	if (r->body && used + len <= size)
		return 0;
	while (size < used + len)
		size *= 2;
	bigger = realloc(r->body, size);
	if (!bigger)
		return -1;
	r->body = bigger;
	return 0;
}

static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct receiver *r = ctx;
	size_t len = size * n;

	if (len > r->max_bytes - r->received_bytes || reserve(r, len))
		return 0;
	r->received_bytes += len;
	memcpy(r->body + r->body_len, data, len);
	r->body_len += len;
	r->body[r->body_len] = 0;
	return len;
}

void receiver_attach(struct receiver *r, CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, r);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
}

CURLcode receiver_result(const struct receiver *r, CURLcode result)
{
	return response_head_result(&r->head, result);
}

void receiver_finish(struct receiver *r)
{
	header_list_finish(&r->fields);
	free(r->body);
	receiver_init(r, r->max_bytes);
}
