#include <ctype.h>
#include <glib.h>
#include <primroselead/response_head.h>
#include <string.h>
#include <strings.h>

#define STATUS_MIN 100
#define STATUS_FINAL_MIN 200
#define STATUS_MAX 599

/* Most digits of a Content-Length: more could overflow. */
#define LENGTH_DIGITS_MAX 18

/* A change of protocol, which no request asks for. */
#define STATUS_SWITCHING 101

static const char version_prefix[] = "HTTP/1.";

void response_head_init(struct response_head *h)
{
	*h = (struct response_head){.length = -1};
}

/* Returns the status that a text begins with as "HTTP/1.x NNN", or -1. */
static int parse_status(const char *text, size_t len)
{
	const size_t prefix_len = sizeof(version_prefix) - 1;
	const char *digit = text + prefix_len + 2;
	int status;

	if (len < prefix_len + 5 || memcmp(text, version_prefix, prefix_len) ||
	    !isdigit((unsigned char)digit[-2]) || digit[-1] != ' ' ||
	    !isdigit((unsigned char)digit[0]) ||
	    !isdigit((unsigned char)digit[1]) ||
	    !isdigit((unsigned char)digit[2]))
		return -1;
	if (len > prefix_len + 5 && digit[3] != ' ')
		return -1;
	status =
		(digit[0] - '0') * 100 + (digit[1] - '0') * 10 + digit[2] - '0';
	return status <= STATUS_MAX && status >= STATUS_MIN ? status : -1;
}

/* Whether a status line stands within a line: the head broke off there, and
 * another response follows. */
static int contains_status(const char *line, size_t len)
{
	const char *end = line + len;
	const char *at;

	while ((at = g_strstr_len(line, end - line, version_prefix))) {
		if (parse_status(at, (size_t)(end - at)) >= 0)
			return 1;
		line = at + 1;
	}
	return 0;
}

/* Length of a field's name; 0 if the line is no field. */
static size_t name_length(const char *line, size_t len)
{
	static const char token_marks[] = "!#$%&'*+-.^_`|~";
	size_t n = 0;

	while (n < len && line[n] &&
	       (isalnum((unsigned char)line[n]) ||
		strchr(token_marks, line[n])))
		n++;
	return n < len && line[n] == ':' ? n : 0;
}

static int is_name(const char *line, size_t n, const char *name)
{
	return n == strlen(name) && !strncasecmp(line, name, n);
}

static int is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* Reads the digits of Content-Length. Returns -1 if it is not a number. */
static int64_t parse_length(const char *text, size_t len)
{
	int64_t value = 0;

	if (!len || len > LENGTH_DIGITS_MAX)
		return -1;
	for (; len; text++, len--) {
		if (!isdigit((unsigned char)*text))
			return -1;
		value = value * 10 + (*text - '0');
	}
	return value;
}

/* Framing that is given twice is ambiguous: another reader may see the response
 * end elsewhere. Returns 0, or -1 if the framing is not valid. */
static int read_framing(struct response_head *h, const char *line,
			size_t name_len, const char *value, size_t len)
{
	int is_length = is_name(line, name_len, "Content-Length");
	int is_encoding = is_name(line, name_len, "Transfer-Encoding");

	if (!is_length && !is_encoding)
		return 0;
	if (h->framing != RESPONSE_UNTIL_CLOSE)
		return -1;
	if (is_encoding) {
		h->framing = RESPONSE_CHUNKED;
		return is_name(value, len, "chunked") ? 0 : -1;
	}
	h->framing = RESPONSE_WITH_LENGTH;
	h->length = parse_length(value, len);
	return h->length < 0 ? -1 : 0;
}

static enum response_line reject(struct response_head *h)
{
	h->stage = RESPONSE_MALFORMED;
	return RESPONSE_BAD_LINE;
}

static enum response_line begin_head(struct response_head *h, const char *line,
				     size_t len)
{
	int status = parse_status(line, len);

	if (status < 0 || status == STATUS_SWITCHING ||
	    contains_status(line + 1, len - 1))
		return reject(h);
	response_head_init(h);
	h->status = status;
	h->stage = RESPONSE_IN_HEAD;
	return RESPONSE_STATUS_LINE;
}

static enum response_line end_head(struct response_head *h)
{
	if (h->status < STATUS_FINAL_MIN) {
		h->stage = RESPONSE_INTERIM;
		return RESPONSE_INTERIM_END;
	}
	h->stage = RESPONSE_IN_BODY;
	return RESPONSE_HEAD_END;
}

static enum response_line read_field(struct response_head *h, const char *line,
				     size_t len)
{
	size_t n = name_length(line, len);
	const char *value = line + n + 1;

	if (!n || memchr(line, '\r', len) || memchr(line, 0, len) ||
	    contains_status(line, len))
		return reject(h);
	while (is_blank(line[len - 1]))
		len--;
	while (value < line + len && is_blank(*value))
		value++;
	if (read_framing(h, line, n, value, (size_t)(line + len - value)))
		return reject(h);
	return RESPONSE_FIELD;
}

enum response_line response_head_read(struct response_head *h, const char *line,
				      size_t len)
{
	if (len && line[len - 1] == '\n')
		len--;
	if (len && line[len - 1] == '\r')
		len--;
	switch (h->stage) {
	case RESPONSE_NOTHING:
	case RESPONSE_INTERIM:
		return begin_head(h, line, len);
	case RESPONSE_IN_HEAD:
		return len ? read_field(h, line, len) : end_head(h);
	case RESPONSE_IN_BODY:
		return RESPONSE_TRAILER;
	case RESPONSE_MALFORMED:
		break;
	}
	return RESPONSE_BAD_LINE;
}

CURLcode response_head_result(const struct response_head *h, CURLcode result)
{
	if (result)
		return result;
	switch (h->stage) {
	case RESPONSE_NOTHING:
	case RESPONSE_IN_HEAD:
	case RESPONSE_INTERIM:
		return CURLE_PARTIAL_FILE;
	case RESPONSE_MALFORMED:
		return CURLE_WEIRD_SERVER_REPLY;
	case RESPONSE_IN_BODY:
		break;
	}
	return CURLE_OK;
}

const char *response_stage_name(enum response_stage stage)
{
	static const char *const names[] = {"nothing", "in-head", "interim",
					    "in-body", "malformed"};

	return names[stage];
}

const char *response_framing_name(enum response_framing framing)
{
	static const char *const names[] = {"until-close", "length", "chunked"};

	return names[framing];
}
