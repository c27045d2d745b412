#include "fields.h"
#include "odd.h"
#include <stdio.h>
#include <string.h>

int fields_respond(struct connection *conn)
{
	char headers[120];
	char head[REQUEST_HEAD_MAX];
	size_t len = conn->head_len;

	memcpy(head, conn->buf, len);
	if (request_discard_body(conn))
		return 0;
	snprintf(headers, sizeof(headers),
		 STAMP_HEADER "Content-Length: %zu\r\n", len);
	odd_respond(conn, "200 OK", conn->request_id, headers, "");
	request_send(conn->fd, head, len);
	return 1;
}
