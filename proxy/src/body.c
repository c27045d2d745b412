#include "body.h"
#include <primroselead/proxy.h>
#include <stdlib.h>
#include <string.h>

/* First allocation in bytes; later ones double it. */
#define ALLOCATED_MIN_BYTES 2048

static size_t max_size(const struct body_buffer *b)
{
	return b->max_size ? b->max_size : BODY_DEFAULT_MAX_BYTES;
}

size_t body_readable(const struct body_buffer *b)
{
	return b->len - b->read_pos;
}

static void discard_read(struct body_buffer *b)
{
	memmove(b->data, b->data + b->read_pos, body_readable(b));
	b->len -= b->read_pos;
	b->read_pos = 0;
	b->discarded = 1;
}

static int is_within_budget(const struct body_buffer *b, size_t size)
{
	const struct body_budget *budget = b->budget;

	if (!budget || !budget->max || size <= BODY_DEFAULT_MAX_BYTES)
		return 1;
	return budget->used + size - b->allocated <= budget->max;
}

/* Size up to which the buffer can grow now. */
static size_t size_limit(const struct body_buffer *b)
{
	size_t max = max_size(b);

	if (max <= b->allocated || is_within_budget(b, max))
		return max;
	return b->allocated > BODY_DEFAULT_MAX_BYTES ? b->allocated
						     : BODY_DEFAULT_MAX_BYTES;
}

size_t body_writable(const struct body_buffer *b)
{
	return size_limit(b) - body_readable(b);
}

/* Grows the allocation towards "want" bytes, up to the maximum size; leaves it
 * as it is if out of memory. */
static void grow(struct body_buffer *b, size_t want)
{
	size_t size = b->allocated ? b->allocated : ALLOCATED_MIN_BYTES;
	char *data;

	while (size < want && size < max_size(b))
		size *= 2;
	if (size > max_size(b))
		size = max_size(b);
	if (!is_within_budget(b, size))
		size = BODY_DEFAULT_MAX_BYTES;
	if (size <= b->allocated)
		return;
	data = realloc(b->data, size);
	if (!data)
		return;
	b->data = data;
	if (b->budget)
		b->budget->used += size - b->allocated;
	b->allocated = size;
}

size_t body_write(struct body_buffer *b, const char *data, size_t n)
{
	if (b->len + n > b->allocated)
		grow(b, b->len + n);
	if (n > b->allocated - b->len && b->read_pos)
		discard_read(b);
	if (n > b->allocated - b->len)
		n = b->allocated - b->len;
	if (n)
		memcpy(b->data + b->len, data, n);
	b->len += n;
	return n;
}

size_t body_read(struct body_buffer *b, char *data, size_t n)
{
	size_t left = body_readable(b);

	if (n > left)
		n = left;
	if (n)
		memcpy(data, b->data + b->read_pos, n);
	b->read_pos += n;
	return n;
}

int body_rewind(struct body_buffer *b)
{
	if (b->discarded)
		return -1;
	b->read_pos = 0;
	return 0;
}

void body_finish(struct body_buffer *b)
{
	size_t max = b->max_size;
	struct body_budget *budget = b->budget;

	if (budget)
		budget->used -= b->allocated;
	free(b->data);
	memset(b, 0, sizeof(*b));
	b->max_size = max;
	b->budget = budget;
}
