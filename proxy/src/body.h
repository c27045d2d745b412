#ifndef PROXY_BODY_H
#define PROXY_BODY_H

#include <stddef.h>

struct body_budget;

/** Default maximum size of a body buffer, in bytes. */
#define BODY_DEFAULT_MAX_BYTES 16384

/**
 * FIFO buffer of a streamed body. Bytes that were read are kept until their
 * space is needed, so that a body that fits the buffer can be sent again.
 */
struct body_buffer {
	/** Maximum size in bytes; 0 stands for BODY_DEFAULT_MAX_BYTES. */
	size_t max_size;
	/** Bounds what is allocated beyond BODY_DEFAULT_MAX_BYTES, or null. */
	struct body_budget *budget;
	/** Bytes allocated. */
	size_t allocated;
	char *data;
	/** Bytes in "data", those already read included. */
	size_t len;
	/** Offset of the next byte to read. */
	size_t read_pos;
	/** Bytes that were read have been discarded; rewinding is impossible.
	 */
	int discarded;
};

/** Appends at most n bytes. Returns how many; fewer if the buffer is full or
 * out of memory. */
size_t body_write(struct body_buffer *b, const char *data, size_t n);

/** Reads at most n bytes. Returns how many. */
size_t body_read(struct body_buffer *b, char *data, size_t n);

/** Returns the number of unread bytes. */
size_t body_readable(const struct body_buffer *b);

/** Returns how many bytes can be written, up to the maximum size and within the
 * budget. */
size_t body_writable(const struct body_buffer *b);

/** Moves the read position back to the first byte of the body. Returns 0, or -1
 * if that was discarded. */
int body_rewind(struct body_buffer *b);

/** Frees the memory and empties the buffer; keeps "max_size" and
 * "budget". */
void body_finish(struct body_buffer *b);

#endif
