#ifndef PROXY_BODY_H
#define PROXY_BODY_H

#include <stddef.h>

/** Room of a body buffer in bytes where none is set. */
#define BODY_ROOM 16384

/**
 * A part of a body between its writer and its reader. What was read is kept
 * as long as there is room, so that a short body can be read once more.
 */
struct body_buffer {
	/** Most bytes in memory; 0 stands for BODY_ROOM. */
	size_t max_size;
	/** Bytes allocated. */
	size_t allocated;
	char *data;
	size_t len;
	size_t read_pos;
	/** Something that was read has been dropped. */
	int discarded;
};

/** Puts in at most n bytes; returns how many, 0 also without memory. */
size_t body_write(struct body_buffer *b, const char *data, size_t n);

/** Takes out at most n bytes; returns how many. */
size_t body_read(struct body_buffer *b, char *data, size_t n);

/** Bytes that can be read. */
size_t body_readable(const struct body_buffer *b);

/** Bytes that can be written. */
size_t body_writable(const struct body_buffer *b);

/** Goes back to the first byte. Returns 0, or -1 if it was dropped. */
int body_rewind(struct body_buffer *b);

/** Empties the buffer and frees it. */
void body_finish(struct body_buffer *b);

#endif
