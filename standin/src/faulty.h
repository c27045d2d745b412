#ifndef STANDIN_FAULTY_H
#define STANDIN_FAULTY_H

#include <stddef.h>
#include <stdint.h>

/*
 * Responses whose bytes are faulty: cut anywhere by a close or a reset, sent
 * once more whole or in part, or sent before the request's body was read. All
 * is drawn from a number, so that a request's path can name it.
 */

/** Longest response, in bytes. */
#define FAULTY_BYTES_MAX 2048

/** How the connection goes on after the response. */
enum faulty_end {
	FAULTY_KEEP,
	FAULTY_CLOSE,
	FAULTY_RESET,
};

/** When a part of the response comes once more. */
enum faulty_copy {
	FAULTY_NO_COPY,
	/** "delay_ms" after the response; 0 for at once. */
	FAULTY_LATE,
	/** Before the response to the connection's next request. */
	FAULTY_WITH_NEXT,
};

/** What a response is drawn for. */
struct faulty_request {
	uint32_t number;
	int is_head;
	const char *id;
	/** Instance that responds; each draws its own faults. */
	const char *instance;
};

/** A response. */
struct faulty_response {
	char bytes[FAULTY_BYTES_MAX];
	/** Number of bytes that are sent. */
	size_t len;
	enum faulty_end end;
	/** The request runs. */
	int runs;
	/** Sent when the request's head has come. */
	int is_early;
	enum faulty_copy copy;
	/** Bytes that come once more. */
	size_t copy_at;
	size_t copy_len;
	/** Pause before a late copy or a reset. */
	int delay_ms;
};

/** Draws a response. A response that runs has the stamp "s-ID" and, unless it
 * is empty by its status, the body "ID at INSTANCE\n". */
void faulty_draw(const struct faulty_request *q, struct faulty_response *out);

#endif
