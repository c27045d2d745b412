#ifndef PRIMROSELEAD_HEAD_NEED_H
#define PRIMROSELEAD_HEAD_NEED_H

#include <stddef.h>
#include <stdint.h>

/** Memory of a connection, in bytes, for each byte that the longest head which
 * it is sure to hold may have; and for each byte of the records of its fields,
 * cookies and parts of its query. What is left is for the answer's head, and
 * for bytes that come behind the request's. */
#define HEAD_NEED_SHARE 4

/** Parts of a query that are counted at most. */
#define HEAD_NEED_QUERY_MAX 32

/** Memory that libmicrohttpd takes for the record of one field, cookie or part
 * of the query, in bytes: seven words, in its alignment of two words. */
#define HEAD_NEED_RECORD_BYTES (8 * sizeof(void *))

/** What the requests that wait on a connection need. */
enum head_need {
	/** The first head is not complete, and not too long so far. */
	HEAD_NEED_MORE,
	/** A connection's memory is sure to hold them. */
	HEAD_NEED_FITS,
	/** It may not. */
	HEAD_NEED_ROOM,
	/** Only a request behind the first may need more memory. */
	HEAD_NEED_ROOM_LATER,
};

/** Bytes that head_need has to see of a connection with that much memory. */
size_t head_need_window(size_t memory_bytes);

/**
 * Looks at what waits on a connection, before it is read. "len" is as much as
 * there is, up to head_need_window(). "first_bytes" gets the length of the
 * first request with its body, or -1 if the head does not tell it.
 */
enum head_need head_need(const char *bytes, size_t len, size_t memory_bytes,
			 int64_t *first_bytes);

#endif
