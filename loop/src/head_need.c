#include <primroselead/head_need.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Digits of a body's length that are read at most. */
#define LENGTH_DIGITS_MAX 15

static const char length_name[] = "Content-Length:";

/* A head among the bytes that wait. */
struct head {
	/* Length with the empty line; 0 if it is not complete. */
	size_t len;
	size_t records;
	/* Length of the cookies, which are copied before they are split. */
	size_t cookie_bytes;
	/* -1 if it is not known. */
	int64_t body_bytes;
};

static int begins_with(const char *line, size_t len, const char *name)
{
	size_t n = strlen(name);

	return len >= n && !strncasecmp(line, name, n);
}

static size_t count(const char *text, size_t len, const char *set)
{
	size_t n = 0;

	for (size_t i = 0; i < len; i++)
		n += strchr(set, text[i]) && text[i];
	return n;
}

static void add_request_line(struct head *h, const char *line, size_t len)
{
	size_t parts = count(line, len, "?&");

	h->records += parts < HEAD_NEED_QUERY_MAX ? parts : HEAD_NEED_QUERY_MAX;
}

/* Returns the value of a Content-Length field, -1 if it is not a number. */
static int64_t read_length(const char *line, size_t len)
{
	char text[LENGTH_DIGITS_MAX + 1] = "";
	size_t at = strlen(length_name);

	while (at < len && line[at] == ' ')
		at++;
	if (at == len || len - at > LENGTH_DIGITS_MAX)
		return -1;
	memcpy(text, line + at, len - at);
	return strspn(text, "0123456789") == len - at ? atoll(text) : -1;
}

static void add_field(struct head *h, const char *line, size_t len)
{
	h->records++;
	if (begins_with(line, len, "Cookie:")) {
		h->records += count(line, len, ";,") + 1;
		h->cookie_bytes += len;
	}
	if (begins_with(line, len, length_name))
		h->body_bytes = h->body_bytes ? -1 : read_length(line, len);
	if (begins_with(line, len, "Transfer-Encoding:"))
		h->body_bytes = -1;
}

static struct head read_head(const char *bytes, size_t len)
{
	struct head h = {0};
	const char *line = bytes;
	const char *stop = bytes + len;

	for (;;) {
		const char *end = memchr(line, '\n', (size_t)(stop - line));
		size_t n;

		if (!end)
			return h;
		n = (size_t)(end - line);
		if (n && line[n - 1] == '\r')
			n--;
		/* Empty lines before a request are passed over. */
		if (!n && line != bytes) {
			h.len = (size_t)(end + 1 - bytes);
			return h;
		}
		if (line == bytes)
			add_request_line(&h, line, n);
		else
			add_field(&h, line, n);
		line = end + 1;
	}
}

/* What an incomplete head behind others needs, of which so many bytes are seen:
 * requests that are sent ahead fill any window with heads of all sizes. */
static enum head_need need_behind(size_t seen, size_t max)
{
	return seen > max / 2 ? HEAD_NEED_ROOM_LATER : HEAD_NEED_FITS;
}

size_t head_need_window(size_t memory_bytes)
{
	return memory_bytes / HEAD_NEED_SHARE + 1;
}

enum head_need head_need(const char *bytes, size_t len, size_t memory_bytes,
			 int64_t *first_bytes)
{
	size_t max = memory_bytes / HEAD_NEED_SHARE;
	size_t at = 0;

	*first_bytes = -1;
	while (at < len) {
		struct head h = read_head(bytes + at, len - at);

		if (h.records * HEAD_NEED_RECORD_BYTES + h.cookie_bytes > max)
			return at ? HEAD_NEED_ROOM_LATER : HEAD_NEED_ROOM;
		if (!h.len && len > max)
			return at ? need_behind(len - at, max) : HEAD_NEED_ROOM;
		if (!h.len)
			return at ? HEAD_NEED_FITS : HEAD_NEED_MORE;
		if (!at && h.body_bytes >= 0)
			*first_bytes = (int64_t)h.len + h.body_bytes;
		if (h.body_bytes < 0 ||
		    (size_t)h.body_bytes >= len - at - h.len)
			return HEAD_NEED_FITS;
		at += h.len + (size_t)h.body_bytes;
	}
	return at ? HEAD_NEED_FITS : HEAD_NEED_MORE;
}
