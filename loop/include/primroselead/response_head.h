#ifndef PRIMROSELEAD_RESPONSE_HEAD_H
#define PRIMROSELEAD_RESPONSE_HEAD_H

#include <curl/curl.h>
#include <stddef.h>
#include <stdint.h>

/*
 * How far the head of an HTTP response has come. libcurl reports success for a
 * connection that is closed within the head, and reads some heads that are
 * ambiguous, so each client of this project feeds the lines of libcurl's header
 * callback to this reader and asks it for the result of the transfer.
 */

enum response_stage {
	/** No line has been received. */
	RESPONSE_NOTHING,
	/** A head has begun and is not complete. */
	RESPONSE_IN_HEAD,
	/** An informational head is complete; the final one has not begun. */
	RESPONSE_INTERIM,
	/** The final head is complete. */
	RESPONSE_IN_BODY,
	/** Not a response, or two that run into each other. */
	RESPONSE_MALFORMED,
};

/** How the end of the body is known. */
enum response_framing {
	/** By the end of the connection. */
	RESPONSE_UNTIL_CLOSE,
	RESPONSE_WITH_LENGTH,
	RESPONSE_CHUNKED,
};

/** What a line of the header callback is. */
enum response_line {
	RESPONSE_STATUS_LINE,
	/** A header field of the head under way. */
	RESPONSE_FIELD,
	/** The end of an informational head. */
	RESPONSE_INTERIM_END,
	/** The end of the final head. */
	RESPONSE_HEAD_END,
	/** A field behind a chunked body. */
	RESPONSE_TRAILER,
	/** Makes the response malformed. */
	RESPONSE_BAD_LINE,
};

/** Reader of one response; empty when zeroed. */
struct response_head {
	enum response_stage stage;
	/** Status of the head that began last; of the response only in stage
	 * RESPONSE_IN_BODY. */
	int status;
	enum response_framing framing;
	/** Content-Length; -1 if there is none. */
	int64_t length;
};

/** Prepares for a new response. */
void response_head_init(struct response_head *h);

/** Reads a line as libcurl's header callback receives it. Once the response is
 * malformed, all lines are bad. */
enum response_line response_head_read(struct response_head *h, const char *line,
				      size_t len);

/** Returns the result of a transfer: CURLE_PARTIAL_FILE in place of libcurl's
 * success if the final head is not complete, CURLE_WEIRD_SERVER_REPLY if it is
 * malformed. */
CURLcode response_head_result(const struct response_head *h, CURLcode result);

/** Names for logs. */
const char *response_stage_name(enum response_stage stage);
const char *response_framing_name(enum response_framing framing);

#endif
