#include "endless.h"
#include "odd.h"
#include <stddef.h>
#include <string.h>

/* A response whose body or framing is repeated without end. */
struct endless_body {
	const char *name;
	const char *headers;
	const char *begin;
	const char *text;
};

#define CHUNKED_HEADERS STAMP_HEADER "Transfer-Encoding: chunked\r\n"

static const struct endless_body endless_bodies[] = {
	{"chunks", CHUNKED_HEADERS, "", "1\r\nx\r\n"},
	{"ext", CHUNKED_HEADERS, "5;", "more=and-more;"},
	{"size", CHUNKED_HEADERS, "", "0000000000"},
	{"trailer", CHUNKED_HEADERS, "5\r\nhello\r\n0\r\n",
	 "More: and more\r\n"},
	{"length", STAMP_HEADER "Content-Length: 100000000000000000\r\n", "",
	 "and more "},
	{"extra", COMPLETE_HEADERS, "hello world\n", "and more "},
};

long long endless_respond(const struct connection *conn)
{
	static const char head[] = "HTTP/1.1 200 OK\r\n";
	const char *what = conn->mode + strlen("endless-");

	if (!strcmp(what, "line"))
		return request_repeat(conn, "no answer ");
	if (!strcmp(what, "early"))
		return request_repeat(conn, "HTTP/1.1 103 Early Hints\r\n"
					    "Link: a\r\n\r\n");
	if (!strcmp(what, "head")) {
		request_send(conn->fd, head, sizeof(head) - 1);
		return request_repeat(conn, "More: and more\r\n");
	}
	for (size_t i = 0;
	     i < sizeof(endless_bodies) / sizeof(endless_bodies[0]); i++) {
		const struct endless_body *b = &endless_bodies[i];

		if (strcmp(what, b->name) != 0)
			continue;
		odd_respond(conn, "200 OK", conn->request_id, b->headers,
			    b->begin);
		return request_repeat(conn, b->text);
	}
	if (!strcmp(what, "shed"))
		odd_respond(conn, "503 Full", conn->request_id,
			    "X-Not-Executed: 1\r\n", "");
	else
		odd_respond(conn, "200 OK", conn->request_id, STAMP_HEADER, "");
	return request_repeat(conn, "and more ");
}
