#include "head.h"
#include <primroselead/head_need.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

/* The shortest line of a field: a name of one byte, the colon, the line end. */
#define FIELD_LINE_MIN_BYTES 4

/* Half of the memory is for what was received, the other for the records. */
_Static_assert(HEAD_LARGE_CONNECTION_BYTES / 2 >=
		       PROXY_REQUEST_HEAD_MAX_BYTES / FIELD_LINE_MIN_BYTES *
				       HEAD_NEED_RECORD_BYTES +
			       PROXY_REQUEST_HEAD_MAX_BYTES,
	       "a connection holds the longest head, of the shortest fields");

/* Lines of a response's head that the listener adds: status line, date,
 * connection, framing and outcome, in bytes. */
#define RESPONSE_OWN_BYTES 512

/* Room for a response of this VM's own, in bytes. */
#define ERROR_BYTES 2048

/* Bytes of a field's line beside its name and value: the colon and the line
 * end. White space is not counted, so that no head within the limit is taken
 * to be longer. */
#define FIELD_MIN_BYTES 3

/* Bytes of a head beside target, method and fields: two spaces, the version and
 * two line ends. */
#define LINE_MIN_BYTES (2 + sizeof("HTTP/1.1") - 1 + 4)

/* File descriptors reserved for files, the store and the other VMs. */
#define DESCRIPTORS_RESERVED 400

/* Fewest connections of a listener, and fewest with the larger memory. */
#define CONNECTIONS_MIN 16
#define LARGE_MIN 2

/* Part of the connections at a time that are kept after an answer, in eighths.
 */
#define KEPT_EIGHTHS 7

/* Memory that the listener takes for a request's head. */
struct head_size {
	size_t bytes;
	size_t records;
	/* The first Cookie field is copied before it is split. */
	size_t cookie_bytes;
};

static enum MHD_Result add_field(void *ctx, enum MHD_ValueKind kind,
				 const char *name, const char *value)
{
	struct head_size *size = ctx;
	size_t len = value ? strlen(value) : 0;

	size->records++;
	if (kind != MHD_HEADER_KIND)
		return MHD_YES;
	size->bytes += strlen(name) + len + FIELD_MIN_BYTES;
	if (!size->cookie_bytes && !strcasecmp(name, MHD_HTTP_HEADER_COOKIE))
		size->cookie_bytes = len + 1;
	return MHD_YES;
}

void head_measure(struct proxy_request *r)
{
	struct head_size size = {.bytes = strlen(r->method) +
					  strlen(r->target) + LINE_MIN_BYTES};
	size_t half = serve_connection_memory(r->conn) / 2;
	size_t taken;

	MHD_get_connection_values(r->conn, MHD_HEADER_KIND, add_field, &size);
	MHD_get_connection_values(r->conn, MHD_COOKIE_KIND, add_field, &size);
	/* The head and bytes behind it, of the body or the next request, have
	 * half of the memory. */
	taken = size.records * HEAD_NEED_RECORD_BYTES + size.cookie_bytes;
	r->request_head_bytes = size.bytes;
	r->answer_room = taken < half ? half - taken : 0;
}

int head_has_error_room(const struct proxy_request *r)
{
	return r->answer_room >= ERROR_BYTES;
}

int head_check(struct proxy_request *r, int64_t limit_bytes)
{
	if (limit_bytes > 0 && r->request_head_bytes > (size_t)limit_bytes) {
		request_fail(r, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
			     "the head of the request is too long");
		return 0;
	}
	return 1;
}

int head_fits_response(const struct proxy_request *r)
{
	const struct curl_slist *h = r->response_headers.first;
	size_t bytes = RESPONSE_OWN_BYTES;

	for (; h; h = h->next)
		bytes += strlen(h->data) + sizeof("\r\n") - 1;
	return bytes <= r->answer_room;
}

void head_refuse_raw(const struct proxy_request *r)
{
	static const char text[] = "HTTP/1.1 503 Service Unavailable\r\n"
				   "Request-Outcome: not-run\r\n"
				   "Retry-After: 1\r\n"
				   "Content-Length: 0\r\n"
				   "Connection: close\r\n\r\n";
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);

	metrics_add(&r->thread->metrics, METRIC_REQUESTS_HEAD_REFUSED, 1);
	send(info->connect_fd, text, sizeof(text) - 1,
	     MSG_DONTWAIT | MSG_NOSIGNAL);
}

void head_limit_query(const char *target, int max)
{
	char *part = strchr(target, '?');

	for (int n = 0; part && n < max; n++)
		part = strchr(part + 1, '&');
	/* The listener reads the query from this buffer after this call. */
	if (part && part[1])
		part[*part == '?'] = 0;
}

/* Each request needs two descriptors: the caller's connection and the one to
 * its upstream. */
static int64_t descriptors_limit(const struct prl_settings *s)
{
	int64_t n = (s->traffic.descriptors - DESCRIPTORS_RESERVED) / 2;

	return s->traffic.descriptors ? n : s->traffic.connections;
}

static int64_t memory_limit(const struct prl_settings *s, int share,
			    size_t connection_bytes)
{
	return (s->traffic.memory << 20) / share / s->traffic.threads /
	       (int64_t)connection_bytes;
}

unsigned int head_connections_max(const struct prl_settings *s, int share)
{
	int64_t n = s->traffic.connections;

	if (descriptors_limit(s) < n)
		n = descriptors_limit(s);
	if (s->traffic.memory &&
	    memory_limit(s, share, HEAD_CONNECTION_BYTES) < n)
		n = memory_limit(s, share, HEAD_CONNECTION_BYTES);
	return n > CONNECTIONS_MIN ? (unsigned int)n : CONNECTIONS_MIN;
}

unsigned int head_large_max(const struct prl_settings *s, int share)
{
	int64_t n = memory_limit(s, share, HEAD_LARGE_CONNECTION_BYTES);

	if (!s->traffic.memory)
		return 0;
	return n > LARGE_MIN ? (unsigned int)n : LARGE_MIN;
}

int head_kept_max(int connections_max)
{
	return connections_max * KEPT_EIGHTHS / 8;
}
