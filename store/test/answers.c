#include "answers.h"
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define OBJECT(name, revision)                                                 \
	"{\"metadata\":{\"name\":\"" name "\",\"revision\":" revision          \
	"},\"specification\":{\"x\":1}}"

#define OK "HTTP/1.1 200 OK"
#define INTERIM "HTTP/1.1 103 Early Hints\r\nStore-Era: 3\r\n\r\n" OK

const char answer_first_page[] = "{\"items\":[" OBJECT(
	"a", "7") "],\"has_more\":true,\"current_rev\":9}";

static const char second_page[] =
	"{\"items\":[" OBJECT("b", "8") "],\"has_more\":false,"
					"\"current_rev\":10}";
static const char empty_page[] =
	"{\"items\":[],\"has_more\":false,\"current_rev\":9}";
static const char events[] = "{\"events\":[{\"object\":" OBJECT(
	"a", "8") ",\"removed\":false},"
		  "{\"object\":" OBJECT("b", "9") ",\"removed\":true}],"
						  "\"current_rev\":9}";
static const char no_events[] = "{\"events\":[],\"current_rev\":9}";

#define GET .op = STORE_GET, .key = "k/a"
#define LIST .op = STORE_LIST, .key = "k/"
#define WATCH .op = STORE_WATCH, .key = "k/", .revision = 5
#define CREATE .op = STORE_PUT, .key = "k/a", .value = "{\"x\":1}"
#define REPLACE CREATE, .revision = 6
#define DELETE .op = STORE_PUT, .key = "k/a", .value = "", .revision = 6

const struct answer_kind answer_kinds[] = {
	{"object", GET, .status_line = OK, .body = OBJECT("a", "7"),
	 .code = PRL_OK, .nobject = 1, .cut_body_code = PRL_E_PROTOCOL},
	{"object after hints", GET, .status_line = INTERIM,
	 .body = OBJECT("a", "7"), .code = PRL_OK, .nobject = 1,
	 .cut_body_code = PRL_E_PROTOCOL},
	{"no object", GET, .status_line = "HTTP/1.1 404 Not Found",
	 .body = "{}", .code = PRL_E_NOT_FOUND,
	 .cut_body_code = PRL_E_NOT_FOUND},
	{"object, too many calls", GET,
	 .status_line = "HTTP/1.1 429 Too Many Requests", .body = "{}",
	 .code = PRL_E_STORE_DOWN, .cut_body_code = PRL_E_STORE_DOWN},
	{"empty list", LIST, .status_line = OK, .body = empty_page,
	 .code = PRL_OK, .cut_body_code = PRL_E_PROTOCOL},
	{"second page", LIST, .status_line = OK, .body = second_page,
	 .code = PRL_OK, .nobject = 2, .cut_body_code = PRL_E_PROTOCOL,
	 .is_second_page = 1},
	{"list, unavailable", LIST,
	 .status_line = "HTTP/1.1 503 Service Unavailable", .body = "{}",
	 .code = PRL_E_STORE_DOWN, .cut_body_code = PRL_E_STORE_DOWN},
	{"events", WATCH, .status_line = OK, .body = events, .code = PRL_OK,
	 .nobject = 2, .cut_body_code = PRL_E_PROTOCOL},
	{"no events", WATCH, .status_line = OK, .body = no_events,
	 .code = PRL_OK, .cut_body_code = PRL_E_PROTOCOL},
	{"history is gone", WATCH, .status_line = "HTTP/1.1 410 Gone",
	 .body = "{}", .code = PRL_E_STALE, .cut_body_code = PRL_E_STALE},
	{"created", CREATE, .status_line = "HTTP/1.1 201 Created",
	 .body = OBJECT("a", "7"), .code = PRL_OK,
	 .cut_body_code = PRL_E_UNSETTLED},
	{"replaced", REPLACE, .status_line = OK, .body = OBJECT("a", "7"),
	 .code = PRL_OK, .cut_body_code = PRL_E_UNSETTLED},
	{"conflict", REPLACE, .status_line = "HTTP/1.1 409 Conflict",
	 .body = OBJECT("a", "9"), .code = PRL_E_CONFLICT,
	 .cut_body_code = PRL_E_CONFLICT},
	{"write, unavailable", REPLACE,
	 .status_line = "HTTP/1.1 503 Service Unavailable", .body = "{}",
	 .code = PRL_E_STORE_DOWN, .cut_body_code = PRL_E_STORE_DOWN},
	{"write, too many calls", REPLACE,
	 .status_line = "HTTP/1.1 429 Too Many Requests", .body = "",
	 .code = PRL_E_STORE_DOWN, .cut_body_code = PRL_E_STORE_DOWN},
	{"write failed", REPLACE,
	 .status_line = "HTTP/1.1 500 Internal Server Error", .body = "{}",
	 .code = PRL_E_UNSETTLED, .cut_body_code = PRL_E_UNSETTLED},
	{"deleted", DELETE, .status_line = OK, .body = "", .code = PRL_OK,
	 .cut_body_code = PRL_OK},
	{"deleted, no content", DELETE,
	 .status_line = "HTTP/1.1 204 No Content", .code = PRL_OK,
	 .cut_body_code = PRL_OK},
	{"delete, no object", DELETE, .status_line = "HTTP/1.1 404 Not Found",
	 .body = "{}", .code = PRL_E_CONFLICT, .cut_body_code = PRL_E_CONFLICT},
	{"empty page that goes on", LIST, .status_line = OK,
	 .body = "{\"items\":[],\"has_more\":true,\"current_rev\":9}",
	 .code = PRL_E_PROTOCOL, .cut_body_code = PRL_E_PROTOCOL},
	{"object of another name", GET, .status_line = OK,
	 .body = OBJECT("b", "7"), .code = PRL_E_PROTOCOL,
	 .cut_body_code = PRL_E_PROTOCOL},
	{"replaced another", REPLACE, .status_line = OK,
	 .body = OBJECT("b", "7"), .code = PRL_E_UNSETTLED,
	 .cut_body_code = PRL_E_UNSETTLED},
	{"replaced nothing", REPLACE, .status_line = OK, .body = "{}",
	 .code = PRL_E_UNSETTLED, .cut_body_code = PRL_E_UNSETTLED},
	{"write, elsewhere", REPLACE,
	 .status_line = "HTTP/1.1 307 Temporary Redirect", .body = "",
	 .code = PRL_E_UNSETTLED, .cut_body_code = PRL_E_UNSETTLED},
	{"write, history is gone", REPLACE, .status_line = "HTTP/1.1 410 Gone",
	 .body = "{}", .code = PRL_E_STORE_DOWN,
	 .cut_body_code = PRL_E_STORE_DOWN},
};
const int answer_nkind = G_N_ELEMENTS(answer_kinds);

size_t answer_format(const char *status_line, const char *body,
		     enum response_framing framing, char *out, size_t *head_len)
{
	static const char fields[] = "Content-Type: application/json";
	size_t len = body ? strlen(body) : 0;
	int n = snprintf(out, ANSWER_MAX, "%s\r\nStore-Era: %d\r\n%s\r\n",
			 status_line, ANSWER_ERA, fields);

	switch (framing) {
	case RESPONSE_WITH_LENGTH:
		if (body)
			n += snprintf(out + n, ANSWER_MAX - (size_t)n,
				      "Content-Length: %zu\r\n", len);
		break;
	case RESPONSE_CHUNKED:
		n += snprintf(out + n, ANSWER_MAX - (size_t)n,
			      "Transfer-Encoding: chunked\r\n");
		break;
	case RESPONSE_UNTIL_CLOSE:
		break;
	}
	n += snprintf(out + n, ANSWER_MAX - (size_t)n, "\r\n");
	*head_len = (size_t)n;
	if (framing == RESPONSE_CHUNKED && len)
		n += snprintf(out + n, ANSWER_MAX - (size_t)n,
			      "1\r\n%.1s\r\n%zx\r\n%s\r\n", body, len - 1,
			      body + 1);
	else if (body)
		n += snprintf(out + n, ANSWER_MAX - (size_t)n, "%s", body);
	if (framing == RESPONSE_CHUNKED)
		n += snprintf(out + n, ANSWER_MAX - (size_t)n, "0\r\n\r\n");
	return (size_t)n;
}
