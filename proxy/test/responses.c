#include "responses.h"
#include <stdio.h>
#include <string.h>

#define ID RESPONSE_ID
#define STAMP RESPONSE_STAMP
#define OK RESPONSE_OK
#define BODY RESPONSE_BODY
#define NOT_RUN "X-Not-Executed: 1\r\n"
#define LENGTH "Content-Length: 19\r\n"

/* Longest response, in bytes. */
#define RESPONSE_MAX 4096

const struct response_kind response_kinds[] = {
	{"length", 0, 200, 200, 1, 1, 0,
	 OK ID STAMP "X-Server-Load: 1,0,6\r\n" LENGTH "\r\n" BODY},
	{"length first", 0, 200, 200, 1, 1, 0, OK LENGTH STAMP ID "\r\n" BODY},
	{"chunked", 0, 200, 200, 1, 1, 0,
	 OK ID STAMP "Transfer-Encoding: chunked\r\n\r\n"
		     "8\r\nanswer t\r\nb\r\no %1$s\n\r\n0\r\n\r\n"},
	{"chunked with a trailer", 0, 200, 200, 1, 1, 0,
	 OK ID STAMP "Transfer-Encoding: chunked\r\n\r\n"
		     "13\r\n" BODY "\r\n0\r\n" NOT_RUN
		     "X-Request-Id: another\r\n\r\n"},
	{"until close", 0, 200, 200, 1, 1, 1, OK STAMP ID "\r\n" BODY},
	{"empty", 0, 200, 200, 1, 0, 0,
	 OK ID STAMP "Content-Length: 0\r\n\r\n"},
	{"204", 0, 204, 204, 1, 0, 0,
	 "HTTP/1.1 204 No Content\r\n" STAMP ID "\r\n"},
	{"304", 0, 304, 304, 1, 0, 0,
	 "HTTP/1.1 304 Not Modified\r\n" STAMP ID LENGTH "\r\n"},
	{"HEAD", 1, 200, 200, 1, 0, 0, OK STAMP LENGTH ID "\r\n"},
	{"after 100", 0, 200, 200, 1, 1, 0,
	 "HTTP/1.1 100 Continue\r\n\r\n" OK STAMP ID LENGTH "\r\n" BODY},
	{"after 103", 0, 200, 200, 1, 1, 0,
	 "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" NOT_RUN
	 "\r\n" OK ID STAMP LENGTH "\r\n" BODY},
	{"500", 0, 500, 500, 1, 1, 0,
	 "HTTP/1.1 500 Failed\r\n" STAMP ID LENGTH "\r\n" BODY},
	{"404", 0, 404, 404, 1, 1, 0,
	 "HTTP/1.1 404 No\r\n" ID STAMP LENGTH "\r\n" BODY},
	{"503 that ran", 0, 503, 502, 1, 1, 0,
	 "HTTP/1.1 503 Busy\r\n" ID LENGTH "\r\n" BODY},
	{"200 that did not run", 0, 200, 502, 1, 1, 0,
	 OK ID STAMP NOT_RUN LENGTH "\r\n" BODY},
	{"two ids", 0, 200, 502, 1, 1, 0,
	 OK "X-Request-Id: another\r\n" ID STAMP LENGTH "\r\n" BODY},
	{"503 of two outcomes", 0, 503, 502, 1, 1, 0,
	 "HTTP/1.1 503 Full\r\n" ID "Request-Outcome: ran\r\n"
	 "Request-Outcome: not-run\r\n" LENGTH "\r\n" BODY},
	{"503", 0, 503, 200, 0, 0, 0,
	 "HTTP/1.1 503 Full\r\n" ID NOT_RUN "Content-Length: 0\r\n\r\n"},
	{"503 with a body", 0, 503, 200, 0, 1, 0,
	 "HTTP/1.1 503 Full\r\n" NOT_RUN LENGTH ID "\r\n" BODY},
	{"429", 0, 429, 200, 0, 1, 0,
	 "HTTP/1.1 429 Slow\r\n" ID LENGTH NOT_RUN "\r\n" BODY},
	{"421", 0, 421, 200, 0, 0, 0,
	 "HTTP/1.1 421 Misdirected\r\n" ID "Content-Length: 0\r\n\r\n"},
	{"refusal without an id", 0, 503, RESPONSE_ANY_STATUS, 0, 0, 0,
	 "HTTP/1.1 503 Full\r\n" NOT_RUN "%2$sContent-Length: 0\r\n\r\n"},
	{"421 without an id", 0, 421, RESPONSE_ANY_STATUS, 0, 0, 0,
	 "HTTP/1.1 421 Misdirected\r\n%2$sContent-Length: 0\r\n\r\n"},
};

const int response_nkind =
	(int)(sizeof(response_kinds) / sizeof(*response_kinds));

size_t response_format(const struct response_kind *k, const char *id,
		       int is_peer, char *out, size_t size)
{
	const char *outcome = "";

	if (is_peer)
		outcome = k->runs ? "Request-Outcome: ran\r\n"
				  : "Request-Outcome: not-run\r\n";
	return (size_t)snprintf(out, size, k->text, id, outcome);
}

size_t response_length(const struct response_kind *k, int is_peer)
{
	char text[RESPONSE_MAX];

	return response_format(k, "q0000000", is_peer, text, sizeof(text));
}

const struct response_kind *response_plain(const char *method)
{
	int is_head = !strcmp(method, "HEAD");

	for (int i = 0; i < response_nkind; i++)
		if (response_kinds[i].is_head_request == is_head)
			return &response_kinds[i];
	return NULL;
}
